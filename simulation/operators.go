package simulation

import (
	"context"
	"fmt"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/settings"
)

// directStore is the key-value service without a network: every call takes
// effect at once and at the present virtual time.
type directStore struct{ service *KeyValue }

// Range implements keyvalue.Store.
func (d directStore) Range(_ context.Context, prefix string) ([]keyvalue.KeyValue, int64, error) {
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

// Watch implements keyvalue.Store; the settings store does not watch here.
func (d directStore) Watch(context.Context, string, int64, func(keyvalue.WatchBatch)) error {
	return errWatchBroken
}

// settingsStore returns the operators' way to the tree.
func (w *World) settingsStore() *settings.Store {
	return settings.NewStore(directStore{service: w.KeyValue},
		settings.WithClock(w.Kernel.Now),
		settings.WithHistoryNames(func() string { return "simulation" }))
}

// commitTree stores the first tree.
func (w *World) commitTree(tree *settings.Tree) error {
	return w.commit(settings.Edit{ID: "initial", Author: "operator", Changes: tree.Diff(settings.Empty())}, nil)
}

// commit applies an edit and tells the node, if any, whose administration API
// took it.
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
	w.Checkers.settingsAccepted(snapshot)
	w.KeyValue.publish()
	if through != nil {
		through.answer(w.Network.Delay(through.Place, w.KeyValue.place), node.EditCommitted{History: stamp.History, Entry: entry})
	}
	return nil
}
