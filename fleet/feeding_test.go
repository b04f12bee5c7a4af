package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/fleet/feed"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/wire"
)

// How long messages between nodes, answers of the store and calls that nobody answers
// take.
const (
	messageTime = 2 * time.Millisecond
	answerTime  = 6 * time.Millisecond
	silentCall  = 620 * time.Millisecond
)

const keyEngines = "w/"

// followedStore is how a node follows the store where a feed does it, in place of
// world.poll.
type followedStore struct {
	*feed.Core
	// engines holds each engine's entry as it was read last.
	engines map[string]string
	tickAt  time.Time
}

// News implements feed.Filter: an entry that says the same only shows that the engine
// lives.
func (f *followedStore) News(change *wire.StoreChange) bool {
	if !strings.HasPrefix(change.Key, keyEngines) {
		return true
	}
	same := f.engines[change.Key] == string(change.Value)
	f.engines[change.Key] = string(change.Value)
	return !same
}

// followBy has all nodes follow the store by feeds, spread over so many zones.
func (w *world) followBy(zones int) {
	w.zones = zones
	for _, n := range w.nodes {
		w.follow(n)
	}
}

func (w *world) follow(n *simulatedNode) {
	n.follows = &followedStore{engines: map[string]string{}}
	self := feed.Peer{ID: n.id, Address: string(n.id), Zone: w.zoneOf(n.id)}
	n.follows.Core = feed.New(feed.Config{Self: self}, n.follows, uint64(w.started(n.id)))
	w.feedStep(n, feed.Tick{})
}

// started is how many nodes were started before the one.
func (w *world) started(id cluster.NodeID) int {
	return slices.IndexFunc(w.nodes, func(n *simulatedNode) bool { return n.id == id })
}

// zoneOf spreads nodes over zones in the order of their starts.
func (w *world) zoneOf(id cluster.NodeID) cluster.ZoneID {
	return cluster.ZoneID(fmt.Sprint(w.started(id) % w.zones))
}

func (w *world) feedStep(n *simulatedNode, event feed.Event) {
	if n.dead {
		return
	}
	for _, effect := range slices.Clone(n.follows.Step(w.now, event)) {
		w.feedEffect(n, effect)
	}
	if read, isRead := event.(feed.ReadDone); isRead && read.Err == nil && n.follows.Revision() == read.Revision {
		w.take(n, read.Pairs, read.Revision)
		w.step(n, StoreSynced{})
	}
	due := n.follows.NextDue()
	if due.IsZero() || due.Equal(n.follows.tickAt) {
		return
	}
	n.follows.tickAt = due
	w.after(max(due.Sub(w.now), time.Millisecond), func() {
		if n.follows.tickAt.Equal(due) {
			n.follows.tickAt = time.Time{}
			w.feedStep(n, feed.Tick{})
		}
	})
}

func (w *world) feedEffect(n *simulatedNode, effect feed.Effect) {
	began := w.now
	switch e := effect.(type) {
	case feed.Read:
		w.callStore(n, w.readAll, func(err error) feed.Event { return feed.ReadDone{Began: began, Err: err} })
	case feed.Poll:
		w.callStore(n, func() feed.Event { return w.changesSince(e.After, began) },
			func(err error) feed.Event { return feed.PollDone{Began: began, Err: err} })
	case feed.Apply:
		w.take(n, e.Changes, e.Revision)
	case feed.Send:
		w.tell(e.Address, feed.UpdateReceived{Update: e.Update})
	case feed.Ask:
		w.tell(e.Address, feed.ChangesRequested{Request: e.Request})
	}
}

// tell brings a message to the feed of a node.
func (w *world) tell(address string, event feed.Event) {
	w.after(messageTime, func() {
		for _, n := range w.nodes {
			if string(n.id) == address {
				w.feedStep(n, event)
			}
		}
	})
}

// callStore answers from the store's state at arrival, or fails after a silence.
func (w *world) callStore(n *simulatedNode, answer func() feed.Event, failed func(error) feed.Event) {
	if n.cut || w.storeDown {
		w.after(silentCall, func() { w.feedStep(n, failed(errors.New("no answer"))) })
		return
	}
	event := answer()
	w.after(answerTime, func() { w.feedStep(n, event) })
}

func (w *world) readAll() feed.Event {
	pairs, revision := w.store.Range(w.now, "")
	read := feed.ReadDone{Began: w.now, Revision: revision}
	for i := range pairs {
		read.Pairs = append(read.Pairs, changeOf(&pairs[i]))
	}
	return read
}

func (w *world) changesSince(after int64, began time.Time) feed.Event {
	batch := w.store.EventsSince(w.now, "", after+1)
	done := feed.PollDone{Began: began, Revision: batch.Revision, Compacted: batch.Compacted}
	for i := range batch.Events {
		change := changeOf(&batch.Events[i].KeyValue)
		change.Deleted = batch.Events[i].Deleted
		done.Changes = append(done.Changes, change)
	}
	return done
}

func changeOf(pair *keyvalue.KeyValue) wire.StoreChange {
	return wire.StoreChange{Key: pair.Key, Value: pair.Value, Revision: pair.ModRevision}
}

// take hands changes of the store to a node's core.
func (w *world) take(n *simulatedNode, changes []wire.StoreChange, revision int64) {
	for i := range changes {
		w.takeOne(n, &changes[i], revision)
	}
	var peers []feed.Peer
	for _, entry := range n.core.Nodes() {
		peers = append(peers, feed.Peer{ID: entry.ID, Address: entry.Address, Zone: w.zoneOf(entry.ID)})
	}
	w.feedStep(n, feed.PeersChanged{Peers: peers})
}

// takePoison hands a record on a request that ends machines to a node's core.
func (w *world) takePoison(n *simulatedNode, change *wire.StoreChange) {
	stored, err := DecodePoison(change.Key, change.Value)
	stored.Revision = change.Revision
	switch {
	case change.Deleted:
		w.step(n, PoisonRead{Gone: []poison.Fingerprint{stored.Record.Content}})
	case err != nil:
		w.step(n, PoisonRead{Unread: []PoisonStored{stored}})
	default:
		w.step(n, PoisonRead{Records: []PoisonStored{stored}})
	}
}

func (w *world) takeOne(n *simulatedNode, change *wire.StoreChange, revision int64) {
	entry, _ := DecodeNodeEntry(change.Value)
	switch {
	case strings.HasPrefix(change.Key, keyEngines):
		read := WorkersRead{Revision: revision}
		var worker catalog.Worker
		if change.Deleted {
			read.Gone = []cluster.MachineID{cluster.MachineID(strings.TrimPrefix(change.Key, keyEngines))}
		} else if err := json.Unmarshal(change.Value, &worker); err == nil {
			read.Workers = []catalog.Worker{worker}
		}
		w.step(n, read)
	case strings.HasPrefix(change.Key, KeyPoison):
		w.takePoison(n, change)
	case change.Key == KeyHolder && change.Deleted:
		w.step(n, HolderRead{})
	case change.Key == KeyHolder:
		w.step(n, HolderRead{Node: entry, Token: cluster.FencingToken(change.Revision)})
	case change.Key == KeyLast:
		w.step(n, LastHolderRead{Node: entry, Revision: change.Revision})
	case change.Deleted:
		w.step(n, NodesRead{Gone: []cluster.NodeID{cluster.NodeID(strings.TrimPrefix(change.Key, KeyNodes))}})
	default:
		entry.Revision = change.Revision
		w.step(n, NodesRead{Nodes: []NodeEntry{entry}})
	}
}
