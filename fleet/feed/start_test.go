package feed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/agenda"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// These tests guard against a start of all nodes that overloads the store. When all of 985 nodes
// started together, for example after a power failure, each read the entries of all 10,000 workers
// from the store: some 5 MB per node, which took the store's link 40 s, since the bytes grow with
// nodes times workers. The simulation has links with rates, a store with a page size, and
// processors of a share of a core, on virtual time.

// Sizes and rates of the fleets that start. Each simulated pair stands for several real ones and
// its bytes count as many times, so that the simulation of a large fleet takes a second.
const (
	simulatedPairs           = 600
	storePagePairs           = 500
	workersPerNode           = 10
	pairBytes                = 420
	messageBytes             = 350
	storeBytesPerSecond      = 125e6
	strongNodeBytesPerSecond = 25e6
	weakNodeBytesPerSecond   = 2.5e6
	strongNodeCores          = 0.8
	weakNodeCores            = 0.192
	processStartWork         = 30 * time.Millisecond
	workPerByte              = 25 * time.Nanosecond
	nodesPerStrongNode       = 20
	startingZones            = 5
	storeRoundTrip           = 10 * time.Millisecond
)

// link carries bytes one after the other.
type link struct {
	bytesPerSecond float64
	freeAt         time.Time
}

// carry returns when bytes that are sent at the given time have passed the link.
func (l *link) carry(at time.Time, bytes float64) time.Time {
	if l.freeAt.Before(at) {
		l.freeAt = at
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt
}

// startingNode is one node of a fleet that starts.
type startingNode struct {
	Peer
	core      *Core
	link      link
	dead      bool
	startedAt time.Time
	// recordedAt is when the node's record is in the store.
	recordedAt time.Time
	loadedAt   time.Time
	tickAt     time.Time
}

// startingFleet simulates the start of all nodes.
type startingFleet struct {
	now    time.Time
	agenda agenda.EventQueue
	// revision is that of the last record written.
	revision  keyvalue.Revision
	nodes     []*startingNode
	byAddress map[string]*startingNode
	store     link
	pairs     []wire.StoreChange
	// pairWeight is how many real pairs each simulated one stands for.
	pairWeight float64
	// calls counts all calls to the store, fullReads the full reads among them.
	calls, fullReads int
	// starters holds the starter's record of each zone.
	starters map[cluster.ZoneID]StarterRead
}

func newStartingFleet(nodes int) *startingFleet {
	f := &startingFleet{
		now: time.Unix(1_000_000, 0), byAddress: map[string]*startingNode{}, store: link{bytesPerSecond: storeBytesPerSecond},
		pairWeight: float64(nodes*(workersPerNode+1)) / simulatedPairs, starters: map[cluster.ZoneID]StarterRead{},
	}
	for i := range simulatedPairs {
		f.pairs = append(f.pairs, wire.StoreChange{
			Key: fmt.Sprintf("servers/i-%08x", uint32(i)*2654435761), Revision: keyvalue.Revision(i + 1),
			Value: fmt.Appendf(nil, `{"service":"s","address":"10.%d.%d.%d:8%03d","zone":"z%d","version":"v%x","slots":12,"state":"ready","models":[{"name":"m%x","version":1,"adapters":[]}],"sequence":%d}`,
				i%7, i%131, i%251, i%997, i%startingZones, uint32(i)*40503, uint32(i)*2246822519, uint32(i)*3266489917),
		})
	}
	for i := range nodes {
		id := cluster.NodeID(fmt.Sprintf("node-%05d", i))
		n := &startingNode{Peer: Peer{ID: id, Address: string(id), Zone: cluster.ZoneID(fmt.Sprint(i % startingZones)), Capacity: weakNodeCores}, link: link{bytesPerSecond: weakNodeBytesPerSecond}}
		if i/startingZones%nodesPerStrongNode == 0 {
			n.Capacity, n.link.bytesPerSecond = strongNodeCores, strongNodeBytesPerSecond
		}
		f.nodes = append(f.nodes, n)
		f.byAddress[n.Address] = n
		f.after(n.work(processStartWork)+time.Duration(i%97)*time.Millisecond, func() { f.startNode(n) })
	}
	return f
}

// work returns how long the node takes for work that takes one core the given time.
func (n *startingNode) work(d time.Duration) time.Duration {
	return time.Duration(float64(d) / n.Capacity)
}

func (f *startingFleet) after(d time.Duration, run func()) { f.at(f.now.Add(d), run) }

func (f *startingFleet) at(at time.Time, run func()) { f.agenda.Schedule(at, run) }

func (f *startingFleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for at, run, due := f.agenda.Next(end); due; at, run, due = f.agenda.Next(end) {
		f.now = at
		run()
	}
	f.now = end
}

// startNode makes a node write its record and begin its startup.
func (f *startingFleet) startNode(n *startingNode) {
	n.startedAt, n.recordedAt = f.now, f.now.Add(2*storeRoundTrip)
	n.core = New(Config{Self: n.Peer, MaxChangeDelay: 5 * time.Second}, acceptAll{}, uint64(f.agenda.Len()))
	f.step(n, Tick{})
}

type acceptAll struct{}

// IsNews implements Filter.
func (acceptAll) IsNews(*wire.StoreChange) bool { return true }

// kill ends a node for good; its record stays for a while.
func (f *startingFleet) kill(n *startingNode) { n.dead = true }

// live lists the nodes whose records are in the store.
func (f *startingFleet) live() []Peer {
	var live []Peer
	for _, n := range f.nodes {
		if !n.recordedAt.IsZero() && !f.now.Before(n.recordedAt) {
			live = append(live, n.Peer)
		}
	}
	return live
}

func (f *startingFleet) step(n *startingNode, e Event) {
	if n.dead || n.core == nil {
		return
	}
	for _, effect := range slices.Clone(n.core.Step(f.now, e)) {
		f.carryOut(n, effect)
	}
	if n.loadedAt.IsZero() && n.core.Revision() != 0 {
		n.loadedAt = f.now
		f.after(0, func() { f.step(n, PeersChanged{Peers: f.live()}) })
	}
	due := n.core.NextDue()
	if due.IsZero() || due.Equal(n.tickAt) {
		return
	}
	n.tickAt = due
	f.at(later(due, f.now.Add(time.Millisecond)), func() {
		if n.tickAt.Equal(due) {
			n.tickAt = time.Time{}
			f.step(n, Tick{})
		}
	})
}

func (f *startingFleet) carryOut(n *startingNode, effect Effect) {
	switch e := effect.(type) {
	case Read:
		f.read(n, e)
	case ReadStarter:
		f.calls++
		f.after(storeRoundTrip, func() { f.step(n, f.starters[n.Zone]) })
	case ClaimStarter:
		f.calls++
		f.after(storeRoundTrip/2, func() { f.claim(n, e) })
	case Poll:
		f.calls++
		began := f.now
		f.after(storeRoundTrip, func() { f.step(n, PollDone{Began: began, Revision: e.After}) })
	case RequestSnapshot:
		f.deliver(n, e.Address, messageBytes, SnapshotRequested{Request: e.Request})
	case SendSnapshot:
		f.deliver(n, e.Address, float64(len(e.Part.Content))*f.pairWeight, SnapshotReceived{Part: e.Part})
	case SendUpdate:
		f.deliver(n, e.Address, messageBytes, UpdateReceived{Update: e.Update})
	case RequestChanges:
		f.deliver(n, e.Address, messageBytes, ChangesRequested{Request: e.Request})
	}
}

// read answers a full read or a read of the first page.
func (f *startingFleet) read(n *startingNode, e Read) {
	f.calls++
	done := ReadDone{Began: f.now, Revision: simulatedPairs, Pairs: f.pairs}
	bytes := f.pairWeight * simulatedPairs * pairBytes
	if e.OnePage {
		done = ReadDone{Began: f.now, MorePages: true}
		bytes = storePagePairs * pairBytes
	} else {
		f.calls += int(f.pairWeight * simulatedPairs / storePagePairs)
		f.fullReads++
	}
	arrives := f.store.carry(f.now.Add(storeRoundTrip), bytes)
	f.at(n.link.carry(arrives, bytes).Add(n.work(time.Duration(bytes*float64(workPerByte)))), func() { f.step(n, done) })
}

// claim writes a node into the starter's record of its zone if the record has the expected
// revision.
func (f *startingFleet) claim(n *startingNode, e ClaimStarter) {
	record := f.starters[n.Zone]
	claimed := StarterClaimed{Won: record.Revision == e.Revision}
	if claimed.Won {
		f.revision++
		record = StarterRead{Starter: Starter{ID: n.ID, Address: n.Address}, Revision: f.revision}
		f.starters[n.Zone] = record
	}
	claimed.Starter, claimed.Revision = record.Starter, record.Revision
	f.after(storeRoundTrip/2, func() { f.step(n, claimed) })
}

// deliver sends a message over the links of both nodes.
func (f *startingFleet) deliver(from *startingNode, address string, bytes float64, event Event) {
	to := f.byAddress[address]
	sent := from.link.carry(f.now, bytes)
	f.at(to.link.carry(sent.Add(2*time.Millisecond), bytes).Add(to.work(time.Duration(bytes*float64(workPerByte)))), func() { f.step(to, event) })
}

// loadTime returns how long after the start the given share of the living nodes had loaded the
// store's contents.
func (f *startingFleet) loadTime(t *testing.T, share float64) time.Duration {
	t.Helper()
	var times []time.Duration
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		if n.loadedAt.IsZero() {
			t.Fatalf("%s has not loaded the contents; started %t, now %s", n.ID, n.core != nil, f.now)
		}
		times = append(times, n.loadedAt.Sub(time.Unix(1_000_000, 0)))
	}
	slices.Sort(times)
	return times[int(share*float64(len(times)-1))]
}

// TestSimultaneousStartCompletesInTime: when all nodes start at once, few read the whole store, and
// all have its contents in time, also in a fleet of twice the size. The bound on recovery is 18 s.
func TestSimultaneousStartCompletesInTime(t *testing.T) {
	for _, test := range []struct {
		nodes int
		limit time.Duration
	}{{300, 18 * time.Second}, {985, 18 * time.Second}, {1970, 18 * time.Second}} {
		f := newStartingFleet(test.nodes)
		f.runFor(60 * time.Second)
		half, last := f.loadTime(t, 0.5), f.loadTime(t, 1)
		t.Logf("%d nodes: half have the contents after %s, all after %s; %d calls, %d full reads", test.nodes, half, last, f.calls, f.fullReads)
		if last > test.limit {
			t.Errorf("%d nodes: the last has the contents after %s, want %s", test.nodes, last, test.limit)
		}
		if f.fullReads > test.nodes/10 {
			t.Errorf("%d full reads by %d nodes", f.fullReads, test.nodes)
		}
	}
}

// TestStartSurvivesDeathOfSnapshotSenders guards against starting nodes that wait for dead ones:
// when the nodes that send snapshots die during the start, the others get the contents elsewhere.
func TestStartSurvivesDeathOfSnapshotSenders(t *testing.T) {
	for _, at := range []time.Duration{70 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		f := newStartingFleet(300)
		f.after(at, func() {
			for _, n := range f.nodes {
				if n.Capacity == strongNodeCores {
					f.kill(n)
				}
			}
		})
		f.runFor(60 * time.Second)
		last := f.loadTime(t, 1)
		t.Logf("senders died at %s: all have the contents after %s, %d full reads", at, last, f.fullReads)
		if last > 18*time.Second {
			t.Errorf("senders died at %s: the last has the contents after %s", at, last)
		}
	}
}
