package feed

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/agenda"
	"github.com/valveslip/valveslip/wire"
)

// What was seen: when all of 985 nodes started, or got power back, together, each read the
// entries of all 10,000 workers at the store: some 5 MB a node, 40 s of the store's link.
//
// What caused it: bytes that grow with nodes times workers.
//
// What proves that here: links with rates, a store with a page size, and processors of a share
// of a core, on virtual time.

// The sizes of the fleets that start. A pair stands for several, so that a fleet's start plays
// in a second: its bytes count as many times.
const (
	startPairs     = 600
	pagePairs      = 500
	workersANode   = 10
	pairBytes      = 420
	recordBytes    = 350
	storeRate      = 125e6
	strongRate     = 25e6
	weakRate       = 2.5e6
	strongShare    = 0.8
	weakShare      = 0.192
	beginWork      = 30 * time.Millisecond
	workABytes     = 25 * time.Nanosecond
	strongOneOf    = 20
	startZones     = 5
	startRoundTrip = 10 * time.Millisecond
)

// link carries bytes one after the other.
type link struct {
	rate float64
	free time.Time
}

// carry returns when bytes that are sent at a time have passed.
func (l *link) carry(at time.Time, bytes float64) time.Time {
	if l.free.Before(at) {
		l.free = at
	}
	l.free = l.free.Add(time.Duration(bytes / l.rate * float64(time.Second)))
	return l.free
}

// startingNode is one node of a fleet that starts.
type startingNode struct {
	Peer
	core  *Core
	link  link
	dead  bool
	alive time.Time
	// recorded is when its record stands in the store.
	recorded time.Time
	knowsAt  time.Time
	tickAt   time.Time
}

// startingFleet plays the start of all nodes.
type startingFleet struct {
	now    time.Time
	agenda agenda.Agenda
	// revision of the last record that was written.
	revision int64
	nodes    []*startingNode
	byAddr   map[string]*startingNode
	store    link
	pairs    []wire.StoreChange
	// weight is how many pairs each of pairs stands for.
	weight float64
	// calls at the store, wholes of them read everything.
	calls, wholes int
	// starters are the records of the zones with their revisions.
	starters map[cluster.ZoneID]StarterRead
}

func newStartingFleet(nodes int) *startingFleet {
	f := &startingFleet{
		now: time.Unix(1_000_000, 0), byAddr: map[string]*startingNode{}, store: link{rate: storeRate},
		weight: float64(nodes*(workersANode+1)) / startPairs, starters: map[cluster.ZoneID]StarterRead{},
	}
	for i := range startPairs {
		f.pairs = append(f.pairs, wire.StoreChange{
			Key: fmt.Sprintf("servers/i-%08x", uint32(i)*2654435761), Revision: int64(i + 1),
			Value: fmt.Appendf(nil, `{"service":"s","address":"10.%d.%d.%d:8%03d","zone":"z%d","version":"v%x","slots":12,"state":"ready","models":[{"name":"m%x","version":1,"adapters":[]}],"sequence":%d}`,
				i%7, i%131, i%251, i%997, i%startZones, uint32(i)*40503, uint32(i)*2246822519, uint32(i)*3266489917),
		})
	}
	for i := range nodes {
		id := cluster.NodeID(fmt.Sprintf("node-%05d", i))
		n := &startingNode{Peer: Peer{ID: id, Address: string(id), Zone: cluster.ZoneID(fmt.Sprint(i % startZones)), Capacity: weakShare}, link: link{rate: weakRate}}
		if i/startZones%strongOneOf == 0 {
			n.Capacity, n.link.rate = strongShare, strongRate
		}
		f.nodes = append(f.nodes, n)
		f.byAddr[n.Address] = n
		f.after(n.work(beginWork)+time.Duration(i%97)*time.Millisecond, func() { f.begin(n) })
	}
	return f
}

// work is how long a node takes for what takes a whole core a time.
func (n *startingNode) work(d time.Duration) time.Duration {
	return time.Duration(float64(d) / n.Capacity)
}

func (f *startingFleet) after(d time.Duration, run func()) { f.at(f.now.Add(d), run) }

func (f *startingFleet) at(at time.Time, run func()) { f.agenda.Add(at, run) }

func (f *startingFleet) runFor(d time.Duration) {
	end := f.now.Add(d)
	for at, run, due := f.agenda.Next(end); due; at, run, due = f.agenda.Next(end) {
		f.now = at
		run()
	}
	f.now = end
}

// begin has a node write its record and ask for everything.
func (f *startingFleet) begin(n *startingNode) {
	n.alive, n.recorded = f.now, f.now.Add(2*startRoundTrip)
	n.core = New(Config{Self: n.Peer, Within: 5 * time.Second}, passAll{}, uint64(f.agenda.Len()))
	f.step(n, Tick{})
}

type passAll struct{}

// News implements Filter.
func (passAll) News(*wire.StoreChange) bool { return true }

// kill ends a node for good; its record stays for a while.
func (f *startingFleet) kill(n *startingNode) { n.dead = true }

// live lists the nodes whose records stand in the store.
func (f *startingFleet) live() []Peer {
	var live []Peer
	for _, n := range f.nodes {
		if !n.recorded.IsZero() && !f.now.Before(n.recorded) {
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
	if n.knowsAt.IsZero() && n.core.Revision() != 0 {
		n.knowsAt = f.now
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
		f.after(startRoundTrip, func() { f.step(n, f.starters[n.Zone]) })
	case ClaimStart:
		f.calls++
		f.after(startRoundTrip/2, func() { f.claim(n, e) })
	case Poll:
		f.calls++
		began := f.now
		f.after(startRoundTrip, func() { f.step(n, PollDone{Began: began, Revision: e.After}) })
	case AskSnapshot:
		f.deliver(n, e.Address, recordBytes, SnapshotRequested{Request: e.Request})
	case SendSnapshot:
		f.deliver(n, e.Address, float64(len(e.Part.Content))*f.weight, SnapshotReceived{Part: e.Part})
	case Send:
		f.deliver(n, e.Address, recordBytes, UpdateReceived{Update: e.Update})
	case Ask:
		f.deliver(n, e.Address, recordBytes, ChangesRequested{Request: e.Request})
	}
}

// read answers a read of everything, or a survey.
func (f *startingFleet) read(n *startingNode, e Read) {
	f.calls++
	done := ReadDone{Began: f.now, Revision: startPairs, Pairs: f.pairs}
	bytes := f.weight * startPairs * pairBytes
	if e.OnePage {
		done = ReadDone{Began: f.now, Large: true}
		bytes = pagePairs * pairBytes
	} else {
		f.calls += int(f.weight * startPairs / pagePairs)
		f.wholes++
	}
	there := f.store.carry(f.now.Add(startRoundTrip), bytes)
	f.at(n.link.carry(there, bytes).Add(n.work(time.Duration(bytes*float64(workABytes)))), func() { f.step(n, done) })
}

// claim writes a node into the record of its zone if it is as expected.
func (f *startingFleet) claim(n *startingNode, e ClaimStart) {
	record := f.starters[n.Zone]
	claimed := StarterClaimed{Won: record.Revision == e.Revision}
	if claimed.Won {
		f.revision++
		record = StarterRead{Starter: Starter{ID: n.ID, Address: n.Address}, Revision: f.revision}
		f.starters[n.Zone] = record
	}
	claimed.Starter, claimed.Revision = record.Starter, record.Revision
	f.after(startRoundTrip/2, func() { f.step(n, claimed) })
}

// deliver brings a message over the links of both nodes.
func (f *startingFleet) deliver(from *startingNode, address string, bytes float64, event Event) {
	to := f.byAddr[address]
	sent := from.link.carry(f.now, bytes)
	f.at(to.link.carry(sent.Add(2*time.Millisecond), bytes).Add(to.work(time.Duration(bytes*float64(workABytes)))), func() { f.step(to, event) })
}

// known returns when the share of the living nodes knew everything, since the start.
func (f *startingFleet) known(t *testing.T, share float64) time.Duration {
	t.Helper()
	var times []time.Duration
	for _, n := range f.nodes {
		if n.dead {
			continue
		}
		if n.knowsAt.IsZero() {
			t.Fatalf("%s knows nothing, begun %t, at %s", n.ID, n.core != nil, f.now)
		}
		times = append(times, n.knowsAt.Sub(time.Unix(1_000_000, 0)))
	}
	slices.Sort(times)
	return times[int(share*float64(len(times)-1))]
}

// TestAllNodesStart: when all nodes start at once and none knows anything, few read everything
// and all know it soon, also in a fleet of twice the size. The users' bound on recovery is 18 s.
func TestAllNodesStart(t *testing.T) {
	for _, test := range []struct {
		nodes int
		most  time.Duration
	}{{300, 18 * time.Second}, {985, 18 * time.Second}, {1970, 18 * time.Second}} {
		f := newStartingFleet(test.nodes)
		f.runFor(60 * time.Second)
		half, last := f.known(t, 0.5), f.known(t, 1)
		t.Logf("%d nodes: half know everything after %s, all after %s; %d calls, %d read everything", test.nodes, half, last, f.calls, f.wholes)
		if last > test.most {
			t.Errorf("%d nodes: the last knows everything after %s, want %s", test.nodes, last, test.most)
		}
		if f.wholes > test.nodes/10 {
			t.Errorf("%d of %d nodes read everything at the store", f.wholes, test.nodes)
		}
	}
}

// TestAskedNodesEnd: when those that others ask for everything end in the middle of it, the
// others learn it elsewhere.
func TestAskedNodesEnd(t *testing.T) {
	for _, at := range []time.Duration{70 * time.Millisecond, 150 * time.Millisecond, 400 * time.Millisecond, time.Second} {
		f := newStartingFleet(300)
		f.after(at, func() {
			for _, n := range f.nodes {
				if n.Capacity == strongShare {
					f.kill(n)
				}
			}
		})
		f.runFor(60 * time.Second)
		last := f.known(t, 1)
		t.Logf("ended at %s: all know everything after %s, %d read everything", at, last, f.wholes)
		if last > 18*time.Second {
			t.Errorf("ended at %s: the last knows everything after %s", at, last)
		}
	}
}
