package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/wire"
)

const (
	// unstoredPeers is how many nodes are asked for what the store does not show: several, as some may have started
	// as late, and few, as each may answer with a whole configuration.
	unstoredPeers = 5
	// unstoredWait is how long a node that starts waits for their answers before it serves. It is bounded because an
	// asked node may have ended.
	unstoredWait = 250 * time.Millisecond
)

// ConfigurationReceived asks for a configuration of another node to be put in force, as ConfigurationRead, unless the
// one in force is newer.
type ConfigurationReceived struct {
	// Value is the stored form.
	Value []byte
	From  cluster.NodeID
}

func (ConfigurationReceived) fleetEffect() {}

// unstoredState exchanges with other nodes what a store that came back from a copy does not show until its authors
// write it again.
type unstoredState struct {
	core *Core
	// configuration is the stored form of the configuration in force.
	configuration []byte
	// received is the latest version that other nodes sent in this era, and tried has the hashes of their contents.
	received int64
	tried    map[uint64]bool
	// awaited are the nodes whose answers a node that starts waits for until waitUntil.
	awaited   map[cluster.NodeID]bool
	waitUntil time.Time
}

// version returns the version of the configuration in force, zero without one.
func (u *unstoredState) version() int64 {
	if u.core.compiled == nil {
		return 0
	}
	return u.core.compiled.Version
}

// eraBegan asks other nodes, in an era in which the store came back from a copy.
func (u *unstoredState) eraBegan() {
	if u.core.era == 0 {
		return
	}
	self := &u.core.config.Self
	u.awaited, u.received, u.tried = map[cluster.NodeID]bool{}, 0, map[uint64]bool{}
	for _, peer := range u.peers() {
		u.awaited[peer.ID] = true
		u.core.send(peer.Address, wire.UnstoredStateRequest{From: self.ID, FromAddress: self.Address, ConfigurationVersion: u.version()})
	}
	if len(u.awaited) > 0 && !u.core.synced {
		u.waitUntil = u.core.now.Add(unstoredWait)
		u.core.feedRouter(routing.DispatchesPaused{Until: u.waitUntil})
	}
}

// peers returns the nodes that are asked, other ones at each node.
func (u *unstoredState) peers() []NodeEntry {
	self := &u.core.config.Self
	weight := func(entry *NodeEntry) uint64 { return xxhash.Sum64String(string(self.ID) + "/" + string(entry.ID)) }
	peers := slices.DeleteFunc(u.core.Nodes(), func(entry NodeEntry) bool { return u.core.controller.sameMachine(entry) })
	slices.SortFunc(peers, func(a, b NodeEntry) int { return cmp.Or(cmp.Compare(weight(&a), weight(&b)), cmp.Compare(a.ID, b.ID)) })
	return peers[:min(len(peers), unstoredPeers)]
}

// requested answers another node.
func (u *unstoredState) requested(m *wire.UnstoredStateRequest) {
	answer := wire.UnstoredState{From: u.core.config.Self.ID, ConfigurationVersion: u.version(), Leaving: u.core.view.leaving()}
	if answer.ConfigurationVersion > m.ConfigurationVersion {
		answer.Configuration = u.configuration
	}
	u.core.send(m.FromAddress, answer)
}

// answered handles the answer of another node.
func (u *unstoredState) answered(m *wire.UnstoredState) {
	if !u.awaited[m.From] {
		return
	}
	delete(u.awaited, m.From)
	// Each different one is tried: one that can't be used must not hide that of another node.
	content := xxhash.Sum64(m.Configuration)
	if len(m.Configuration) > 0 && m.ConfigurationVersion > u.version() && !u.tried[content] {
		u.received = max(u.received, m.ConfigurationVersion)
		u.tried[content] = true
		u.core.emit(ConfigurationReceived{Value: m.Configuration, From: m.From})
	}
	u.core.view.markLeaving(m.Leaving)
}

// waiting reports whether a node that starts still has to wait before it serves.
func (u *unstoredState) waiting() bool {
	return u.core.now.Before(u.waitUntil) && (len(u.awaited) > 0 || u.received > u.version())
}

// tick ends the wait of a node that starts.
func (u *unstoredState) tick() {
	if u.waitUntil.IsZero() || u.waiting() {
		return
	}
	u.waitUntil = time.Time{}
	if u.core.synced {
		u.core.releaseDispatches()
	}
}

// due returns the time of the next required tick, zero for none.
func (u *unstoredState) due() time.Time { return u.waitUntil }
