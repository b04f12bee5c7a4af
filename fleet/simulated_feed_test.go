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

// Latencies of messages between nodes and of store answers, and the time after which an
// unanswered call fails.
const (
	messageLatency     = 2 * time.Millisecond
	storeLatency       = 6 * time.Millisecond
	unansweredCallTime = 620 * time.Millisecond
)

// keyEngineEntries is the prefix of the engines' entries in the store.
const keyEngineEntries = "w/"

// nodeFeed follows the store by a feed, in place of simulation.pollStore.
type nodeFeed struct {
	*feed.Core
	// lastEntries holds the last entry read of each engine.
	lastEntries map[string]string
	tickAt      time.Time
}

// IsNews implements feed.Filter. An unchanged entry only shows that the engine is alive.
func (f *nodeFeed) IsNews(change *wire.StoreChange) bool {
	if !strings.HasPrefix(change.Key, keyEngineEntries) {
		return true
	}
	same := f.lastEntries[change.Key] == string(change.Value)
	f.lastEntries[change.Key] = string(change.Value)
	return !same
}

// followStoreByFeeds makes all nodes follow the store by feeds, spread over the given number of
// zones.
func (s *simulation) followStoreByFeeds(zones int) {
	s.feedZones = zones
	for _, n := range s.nodes {
		s.startFeed(n)
	}
}

func (s *simulation) startFeed(n *simulatedNode) {
	n.storeFeed = &nodeFeed{lastEntries: map[string]string{}}
	self := feed.Peer{ID: n.id, Address: string(n.id), Zone: s.zoneOf(n.id)}
	n.storeFeed.Core = feed.New(feed.Config{Self: self}, n.storeFeed, uint64(s.startIndex(n.id)))
	s.feedStep(n, feed.Tick{})
}

// startIndex returns the number of nodes that were started before the given one.
func (s *simulation) startIndex(id cluster.NodeID) int {
	return slices.IndexFunc(s.nodes, func(n *simulatedNode) bool { return n.id == id })
}

// zoneOf assigns nodes to zones round-robin in the order of their starts.
func (s *simulation) zoneOf(id cluster.NodeID) cluster.ZoneID {
	return cluster.ZoneID(fmt.Sprint(s.startIndex(id) % s.feedZones))
}

func (s *simulation) feedStep(n *simulatedNode, event feed.Event) {
	if n.dead {
		return
	}
	for _, effect := range slices.Clone(n.storeFeed.Step(s.now, event)) {
		s.feedEffect(n, effect)
	}
	if read, isRead := event.(feed.ReadDone); isRead && read.Err == nil && n.storeFeed.Revision() == read.Revision {
		if s.isRestored(n, read.Revision) {
			s.replaceContents(n, read.Pairs, read.Revision)
		} else {
			s.applyChanges(n, read.Pairs, read.Revision)
		}
		s.step(n, StoreSynced{})
	}
	due := n.storeFeed.NextDue()
	if due.IsZero() || due.Equal(n.storeFeed.tickAt) {
		return
	}
	n.storeFeed.tickAt = due
	s.after(max(due.Sub(s.now), time.Millisecond), func() {
		if n.storeFeed.tickAt.Equal(due) {
			n.storeFeed.tickAt = time.Time{}
			s.feedStep(n, feed.Tick{})
		}
	})
}

func (s *simulation) feedEffect(n *simulatedNode, effect feed.Effect) {
	began := s.now
	switch e := effect.(type) {
	case feed.Read:
		s.callStore(n, s.readAll, func(err error) feed.Event { return feed.ReadDone{Began: began, Err: err} })
	case feed.Poll:
		s.callStore(n, func() feed.Event { return s.changesSince(e.After, began) },
			func(err error) feed.Event { return feed.PollDone{Began: began, Err: err} })
	case feed.Apply:
		s.applyChanges(n, e.Changes, e.Revision)
	case feed.SendUpdate:
		s.sendToFeed(e.Address, feed.UpdateReceived{Update: e.Update})
	case feed.RequestChanges:
		s.sendToFeed(e.Address, feed.ChangesRequested{Request: e.Request})
	}
}

// sendToFeed delivers a message to the feed of a node.
func (s *simulation) sendToFeed(address string, event feed.Event) {
	s.after(messageLatency, func() {
		for _, n := range s.nodes {
			if string(n.id) == address {
				s.feedStep(n, event)
			}
		}
	})
}

// callStore answers from the store's state at the time of the call, or fails after
// unansweredCallTime.
func (s *simulation) callStore(n *simulatedNode, answer func() feed.Event, failed func(error) feed.Event) {
	if n.cutOff || s.storeDown {
		s.after(unansweredCallTime, func() { s.feedStep(n, failed(errors.New("no answer"))) })
		return
	}
	event := answer()
	s.after(storeLatency, func() { s.feedStep(n, event) })
}

func (s *simulation) readAll() feed.Event {
	pairs, revision := s.store.Range(s.now, "")
	read := feed.ReadDone{Began: s.now, Revision: inEra(revision, s.era)}
	for i := range pairs {
		read.Pairs = append(read.Pairs, s.changeOf(&pairs[i]))
	}
	return read
}

func (s *simulation) changesSince(after keyvalue.Revision, began time.Time) feed.Event {
	if after.Era() != s.era {
		return feed.PollDone{Began: began, Compacted: true, EraEnded: true}
	}
	batch := s.store.EventsSince(s.now, "", keyvalue.Revision(after.Counter()+1))
	done := feed.PollDone{Began: began, Revision: inEra(batch.Revision, s.era), Compacted: batch.Compacted}
	for i := range batch.Events {
		change := s.changeOf(&batch.Events[i].KeyValue)
		change.Deleted = batch.Events[i].Deleted
		done.Changes = append(done.Changes, change)
	}
	return done
}

func (s *simulation) changeOf(pair *keyvalue.KeyValue) wire.StoreChange {
	return wire.StoreChange{Key: pair.Key, Value: pair.Value, Revision: inEra(pair.ModRevision, s.era)}
}

// applyChanges hands changes of the store to a node's core.
func (s *simulation) applyChanges(n *simulatedNode, changes []wire.StoreChange, revision keyvalue.Revision) {
	restored := s.isRestored(n, revision)
	for i := range changes {
		s.applyChange(n, &changes[i], revision, restored)
	}
	if n.appliedEra < 0 || restored {
		n.appliedEra = revision.Era()
		s.step(n, EraBegan{Era: revision.Era()})
	}
	var peers []feed.Peer
	for _, entry := range n.core.Nodes() {
		peers = append(peers, feed.Peer{ID: entry.ID, Address: entry.Address, Zone: s.zoneOf(entry.ID)})
	}
	s.feedStep(n, feed.PeersChanged{Peers: peers})
}

// applyPoisonChange hands the record of a poison request to a node's core.
func (s *simulation) applyPoisonChange(n *simulatedNode, change *wire.StoreChange, restored bool) {
	stored, err := DecodePoison(change.Key, change.Value)
	stored.Revision = change.Revision
	switch {
	case change.Deleted:
		s.step(n, PoisonRead{Restored: restored, Gone: []poison.Fingerprint{stored.Record.Content}})
	case err != nil:
		s.step(n, PoisonRead{Restored: restored, Undecodable: []StoredPoisonRecord{stored}})
	default:
		s.step(n, PoisonRead{Restored: restored, Records: []StoredPoisonRecord{stored}})
	}
}

func (s *simulation) applyChange(n *simulatedNode, change *wire.StoreChange, revision keyvalue.Revision, restored bool) {
	entry, _ := DecodeNodeEntry(change.Value)
	switch {
	case strings.HasPrefix(change.Key, keyEngineEntries):
		read := WorkersRead{Revision: revision, Restored: restored}
		var worker catalog.Worker
		if change.Deleted {
			read.Gone = []cluster.MachineID{cluster.MachineID(strings.TrimPrefix(change.Key, keyEngineEntries))}
		} else if err := json.Unmarshal(change.Value, &worker); err == nil {
			read.Workers = []catalog.Worker{worker}
		}
		s.step(n, read)
	case strings.HasPrefix(change.Key, KeyPoison):
		s.applyPoisonChange(n, change, restored)
	case change.Key == KeyHolder && change.Deleted:
		s.step(n, HolderRead{Restored: restored})
	case change.Key == KeyHolder:
		s.step(n, HolderRead{Node: entry, Token: cluster.FencingToken(change.Revision), Restored: restored})
	case change.Key == KeyLimits:
		record, _ := DecodeLimits(change.Value)
		s.step(n, LimitsRead{Record: record, Revision: change.Revision})
	case change.Key == KeyLastHolder:
		s.step(n, LastHolderRead{Node: entry, Revision: change.Revision})
	case change.Deleted:
		s.step(n, NodesRead{Gone: []cluster.NodeID{cluster.NodeID(strings.TrimPrefix(change.Key, KeyNodes))}, Restored: restored})
	default:
		entry.Revision = change.Revision
		s.step(n, NodesRead{Nodes: []NodeEntry{entry}, Restored: restored})
	}
}
