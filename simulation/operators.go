package simulation

import (
	"context"
	"fmt"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/settings"
)

// directStore is a client of the key-value service without a network: every call
// takes effect immediately at the current virtual time.
type directStore struct{ service *KeyValue }

// Range implements keyvalue.Store.
func (d directStore) Range(_ context.Context, prefix string) ([]keyvalue.KeyValue, keyvalue.Revision, error) {
	pairs, revision := d.service.state.Range(d.service.kernel.Now(), prefix)
	return pairs, revision, nil
}

// Txn implements keyvalue.Store.
func (d directStore) Txn(_ context.Context, transaction keyvalue.Transaction) (keyvalue.TransactionResult, error) {
	return d.service.state.Txn(d.service.kernel.Now(), transaction)
}

// Grant implements keyvalue.Store.
func (d directStore) Grant(_ context.Context, ttl time.Duration) (int64, error) {
	return d.service.state.Grant(d.service.kernel.Now(), ttl), nil
}

// KeepAlive implements keyvalue.Store.
func (d directStore) KeepAlive(_ context.Context, lease int64) (time.Duration, error) {
	return d.service.state.KeepAlive(d.service.kernel.Now(), lease)
}

// Revoke implements keyvalue.Store.
func (d directStore) Revoke(_ context.Context, lease int64) error {
	return d.service.state.Revoke(d.service.kernel.Now(), lease)
}

// Watch implements keyvalue.Store. It always fails because operators don't watch.
func (d directStore) Watch(context.Context, string, keyvalue.Revision, func(keyvalue.WatchBatch)) error {
	return errWatchBroken
}

// settingsStore returns the settings store that commits the operators' edits.
func (w *World) settingsStore() *settings.Store {
	return settings.NewStore(directStore{service: w.KeyValue},
		settings.WithClock(w.Kernel.Now),
		settings.WithHistoryNames(func() string { return "simulation" }))
}

// commitTree commits the initial settings tree.
func (w *World) commitTree(tree *settings.Tree) error {
	return w.commit(settings.Edit{ID: "initial", Author: "operator", Changes: tree.Diff(settings.EmptyTree())}, nil)
}

// commit commits an edit, informs the checkers and the watches, and notifies the
// node whose administration API accepted the edit, if any.
func (w *World) commit(edit settings.Edit, through *Node) error {
	store := w.settingsStore()
	edit.At = w.Kernel.Now()
	entry, err := store.Commit(context.Background(), edit)
	if err != nil {
		return fmt.Errorf("commit edit %s: %w", edit.ID, err)
	}
	tree, stamp, err := store.Load(context.Background())
	if err != nil {
		return fmt.Errorf("load tree: %w", err)
	}
	snapshot, err := tree.Compile(stamp)
	if err != nil {
		return fmt.Errorf("compile tree: %w", err)
	}
	w.Checkers.acceptSettings(snapshot)
	w.KeyValue.publish()
	if through != nil {
		through.deliverAfter(w.Network.Delay(through.Place, w.KeyValue.place), node.EditCommitted{History: stamp.History, Entry: entry})
	}
	return nil
}
