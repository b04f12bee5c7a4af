package fleet

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// storeTxn carries out a transaction as a client of the store does: a comparison with a revision of
// another era proves nothing.
func (s *simulation) storeTxn(n *simulatedNode, transaction keyvalue.Transaction) (keyvalue.TransactionResult, error) {
	otherEra := func(seen keyvalue.Era) bool {
		return slices.ContainsFunc(transaction.Compares, func(c keyvalue.Compare) bool { return c.ModRevision != 0 && c.ModRevision.Era() != seen })
	}
	if n.seenEra > 0 && otherEra(n.seenEra) {
		return keyvalue.TransactionResult{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "another era")
	}
	n.seenEra = max(n.seenEra, s.era)
	plain := transaction
	plain.Compares = slices.Clone(transaction.Compares)
	for i := range plain.Compares {
		plain.Compares[i].ModRevision = keyvalue.Revision(plain.Compares[i].ModRevision.Counter())
	}
	result, err := s.store.Txn(s.now, plain)
	if err == nil && result.Succeeded && otherEra(s.era) {
		return keyvalue.TransactionResult{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "another era")
	}
	result.Revision = inEra(result.Revision, s.era)
	for i := range result.Found {
		result.Found[i].ModRevision = inEra(result.Found[i].ModRevision, s.era)
	}
	return result, err
}

// isRestored reports whether the store came back from a copy since a node's last content.
func (s *simulation) isRestored(n *simulatedNode, revision keyvalue.Revision) bool {
	return n.appliedEra >= 0 && n.appliedEra != revision.Era()
}

// replaceContents hands the whole content of a store that came back from a copy to a node's core.
func (s *simulation) replaceContents(n *simulatedNode, pairs []wire.StoreChange, revision keyvalue.Revision) {
	workers, nodes, poisoned := WorkersRead{Full: true, Restored: true, Revision: revision}, NodesRead{Full: true, Restored: true}, PoisonRead{Full: true, Restored: true}
	holder, lastHolder, limits := HolderRead{Restored: true}, LastHolderRead{}, LimitsRead{}
	for i := range pairs {
		pair := &pairs[i]
		entry, _ := DecodeNodeEntry(pair.Value)
		switch {
		case strings.HasPrefix(pair.Key, keyEngineEntries):
			var worker catalog.Worker
			if json.Unmarshal(pair.Value, &worker) == nil {
				workers.Workers = append(workers.Workers, worker)
			}
		case strings.HasPrefix(pair.Key, KeyPoison):
			if stored, err := DecodePoison(pair.Key, pair.Value); err == nil {
				stored.Revision = pair.Revision
				poisoned.Records = append(poisoned.Records, stored)
			}
		case pair.Key == KeyHolder:
			holder.Node, holder.Token = entry, cluster.FencingToken(pair.Revision)
		case pair.Key == KeyLimits:
			limits.Record, _ = DecodeLimits(pair.Value)
			limits.Revision = pair.Revision
		case pair.Key == KeyLastHolder:
			lastHolder = LastHolderRead{Node: entry, Revision: pair.Revision}
		case strings.HasPrefix(pair.Key, KeyNodes):
			entry.Revision = pair.Revision
			nodes.Nodes = append(nodes.Nodes, entry)
		}
	}
	for _, read := range []Event{poisoned, nodes, limits, workers, lastHolder, holder, EraBegan{Era: revision.Era()}} {
		s.step(n, read)
	}
	n.appliedEra = revision.Era()
}

// dropEndedEngines removes the entries of engines that have ended, as a platform does with entries that
// are not renewed.
func (s *simulation) dropEndedEngines() {
	for _, e := range s.engines {
		if e.dead {
			s.writeStore(keyvalue.Operation{Delete: true, Key: keyEngineEntries + string(e.id)})
		}
	}
}

// restoreRepeatedly brings the store back from copies again and again.
func (s *simulation) restoreRepeatedly() {
	taken := s.store.Copy(s.now)
	s.after(s.randomDuration(100*time.Millisecond, 6*time.Second), func() {
		s.storeDown = true
		s.after(s.randomDuration(time.Millisecond, 2*time.Second), func() {
			s.storeDown, s.storeRecoveredAt = false, s.now
			s.store.Restore(s.now, taken)
			s.era++
			s.after(1500*time.Millisecond, s.dropEndedEngines)
		})
	})
	s.after(s.randomDuration(time.Second, 10*time.Second), s.restoreRepeatedly)
}

// newRestoringSimulation returns a simulation whose store comes back from copies, and whose engines may
// not check fencing tokens.
func newRestoringSimulation(seed uint64, fenced bool) *simulation {
	s := newSimulation(seed, 4, 3)
	s.fenced = fenced
	for _, n := range s.nodes {
		n.core.config.FencingEnforced = fenced
	}
	s.after(2*time.Second, s.restoreRepeatedly)
	return s
}

// TestOrdersAreSafeAfterStoreLosesRecords guards against two nodes that order in turn, and against tokens
// that fall, after the store came back without the record of the order lease or with an older one. A
// holder may go on for half of its lease without the store, while another one wins the lost lease.
func TestOrdersAreSafeAfterStoreLosesRecords(t *testing.T) {
	for _, fenced := range []bool{true, false} {
		for seed := range uint64(120) {
			t.Run(fmt.Sprintf("fenced=%t/seed=%d", fenced, seed), func(t *testing.T) {
				t.Parallel()
				s := newRestoringSimulation(seed, fenced)
				if seed%2 == 1 {
					s.followStoreByFeeds(3)
				}
				s.requireSafeOrdersUnderFaults(t)
			})
		}
	}
}

// TestRequestsAreServedAfterStoreLosesRecords guards against nodes that stop loading models after the
// store came back from a copy.
func TestRequestsAreServedAfterStoreLosesRecords(t *testing.T) {
	s := newSimulation(7, 3, 3)
	taken := s.store.Copy(s.now)
	s.after(20*time.Second, func() {
		s.store.Restore(s.now, taken)
		s.era++
	})
	s.requireServedWithoutFaults(t)
}

// TestCheckDetectsHoldersOfTwoEras shows that the check fails where a node that wins the lease in a new
// era waits only as long as it would after a lease that ran out.
func TestCheckDetectsHoldersOfTwoEras(t *testing.T) {
	for seed := range uint64(60) {
		s := newRestoringSimulation(seed, false)
		s.forgetsEras = true
		s.after(time.Second, func() { s.askPeriodically(120 * time.Millisecond) })
		s.after(2*time.Second, s.injectFaults)
		if s.runFor(60 * time.Second); len(s.violations) > 0 {
			return
		}
	}
	t.Error("no seed breaks the check")
}

// TestMachineThatLeavesIsNotUsedAfterStoreLosesThat guards against an entry of the copy that shows a
// machine as ready which has said since that it leaves.
func TestMachineThatLeavesIsNotUsedAfterStoreLosesThat(t *testing.T) {
	s := newSimulation(1, 1, 0)
	core, now := s.nodes[0].core, s.now
	ready := catalog.Worker{ID: "e", Service: "s", Address: "e:1", Zone: "z", Slots: 8}
	leaving := ready
	leaving.Draining = true
	core.Step(now, EraBegan{})
	core.Step(now, WorkersRead{Workers: []catalog.Worker{leaving}, Full: true})
	core.Step(now, WorkersRead{Workers: []catalog.Worker{ready}, Full: true, Restored: true})
	core.Step(now, EraBegan{Era: 1})
	if core.view.addressOf("e") != "" {
		t.Error("the machine is used after the return")
	}
	core.Step(now, WorkersRead{Workers: []catalog.Worker{ready}, Full: true})
	if core.view.addressOf("e") != "" {
		t.Error("the machine is used after a further full read")
	}
	core.Step(now, WorkersRead{Workers: []catalog.Worker{ready}})
	if core.view.addressOf("e") == "" {
		t.Error("the machine is not used though its entry has changed since")
	}
}

// TestMachineIsUsedWhileStoreLacksItsEntry guards against requests that find no machine until the workers
// have written their entries again, and against machines that stay for good.
func TestMachineIsUsedWhileStoreLacksItsEntry(t *testing.T) {
	s := newSimulation(1, 1, 0)
	core, now := s.nodes[0].core, s.now
	ready := catalog.Worker{ID: "e", Service: "s", Address: "e:1", Zone: "z", Slots: 8}
	core.Step(now, EraBegan{})
	core.Step(now, WorkersRead{Workers: []catalog.Worker{ready}, Full: true})
	core.Step(now, WorkersRead{Full: true, Restored: true})
	core.Step(now, EraBegan{Era: 1})
	core.Step(now.Add(unconfirmedMachineTime/2), WorkersRead{Full: true})
	if core.view.addressOf("e") == "" {
		t.Error("the machine is not used")
	}
	core.Step(now.Add(unconfirmedMachineTime), Tick{})
	if core.view.addressOf("e") != "" {
		t.Error("the machine is used for good")
	}
}

// TestBlocksAndPardonsOutliveLostRecords guards against a harmful request that is pardoned because the
// store lost its record, and against one that is refused again because the store has its record again.
func TestBlocksAndPardonsOutliveLostRecords(t *testing.T) {
	s := newPoisonSimulation(3, 4, 3)
	node := s.nodes[0]
	ends := []cluster.MachineID{"x", "y", "z"}
	s.step(node, RoutingInput{Event: routing.PoisonLearned{Records: []poison.Record{{Content: popularContent, Ends: ends}}}})
	s.runFor(5 * time.Second)
	withPardoned := s.store.Copy(s.now)
	s.writeStore(keyvalue.Operation{Key: KeyPoison + popularContent.String(), Delete: true})
	s.runFor(time.Second)
	s.step(node, RoutingInput{Event: routing.PoisonLearned{Records: []poison.Record{{Content: harmfulContent, Ends: ends}}}})
	s.runFor(5 * time.Second)
	s.store.Restore(s.now, withPardoned)
	s.era++
	s.runFor(10 * time.Second)
	pairs, _ := s.store.Range(s.now, KeyPoison)
	if len(pairs) != 1 || pairs[0].Key != KeyPoison+harmfulContent.String() {
		t.Errorf("%d records are in the store: %v", len(pairs), pairs)
	}
	for _, n := range s.nodes {
		if record, _ := n.core.router.PoisonRecord(harmfulContent); !n.core.poison.blocks(&record) {
			t.Errorf("%s accepts the harmful request", n.id)
		}
		if record, _ := n.core.router.PoisonRecord(popularContent); n.core.poison.blocks(&record) {
			t.Errorf("%s refuses the pardoned request", n.id)
		}
	}
}

// TestBlockThatNobodyReadIsWrittenAgain guards against a block that only its node knows: the store
// acknowledged its record, and came back from a copy before any node had read it.
func TestBlockThatNobodyReadIsWrittenAgain(t *testing.T) {
	s := newPoisonSimulation(3, 1, 3)
	node := s.nodes[0]
	before := s.store.Copy(s.now)
	s.step(node, RoutingInput{Event: routing.PoisonLearned{Records: []poison.Record{{Content: harmfulContent, Ends: []cluster.MachineID{"x", "y", "z"}}}}})
	s.runFor(10 * time.Millisecond)
	if pairs, _ := s.store.Range(s.now, KeyPoison); len(pairs) != 1 || node.core.poison.stored[harmfulContent] != nil || node.core.poison.writes[harmfulContent] != nil {
		t.Fatalf("%d records are in the store, or the node has read them or still writes", len(pairs))
	}
	s.store.Restore(s.now, before)
	s.era++
	s.runFor(10 * time.Second)
	if pairs, _ := s.store.Range(s.now, KeyPoison); len(pairs) != 1 {
		t.Errorf("%d records are in the store", len(pairs))
	}
}

// TestHolderOfTheCopyWaitsForTheHolderAfterIt guards against orders of two machines in turn: a node that was
// cut off lost the lease to another one, and finds its own record in the copy that the store came back from.
func TestHolderOfTheCopyWaitsForTheHolderAfterIt(t *testing.T) {
	ordered := 0
	for seed := range uint64(20) {
		s := newSimulation(seed, 2, 3)
		s.fenced = false
		for _, n := range s.nodes {
			n.core.config.FencingEnforced = false
		}
		s.after(time.Second, func() { s.askPeriodically(120 * time.Millisecond) })
		s.runFor(6 * time.Second)
		index := slices.IndexFunc(s.nodes, func(n *simulatedNode) bool { return n.core.HoldsOrderLease() })
		if index < 0 {
			t.Fatalf("seed %d: nobody holds the lease", seed)
		}
		first, second := s.nodes[index], s.nodes[1-index]
		taken := s.store.Copy(s.now)
		first.cutOff = true
		s.runFor(8 * time.Second)
		if second.core.HoldsOrderLease() {
			ordered++
		}
		s.store.Restore(s.now, taken)
		s.era++
		first.cutOff, first.reachableSince = false, s.now
		s.runFor(10 * time.Second)
		for _, violation := range s.violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
	}
	if ordered == 0 {
		t.Error("the second node never held the lease")
	}
}

// TestOrdersAreSafeWithSuspensionsAfterStoreLosesRecords guards against two machines that order in turn
// where machines are suspended, most often the holder's, while the store comes back from copies. Clocks that
// stop in suspension show that the check fails.
func TestOrdersAreSafeWithSuspensionsAfterStoreLosesRecords(t *testing.T) {
	play := func(seed uint64, fenced, clocksStop bool) []string {
		s := newRestoringSimulation(seed, fenced)
		s.clocksStopInSuspension = clocksStop
		if seed%2 == 1 {
			s.followStoreByFeeds(3)
		}
		s.after(time.Second, func() { s.askPeriodically(120 * time.Millisecond) })
		s.after(3*time.Second, s.suspendMachines)
		s.runFor(60 * time.Second)
		return s.violations
	}
	found := false
	for seed := range uint64(40) {
		for _, fenced := range []bool{true, false} {
			for _, violation := range play(seed, fenced, false) {
				t.Errorf("fenced=%t, seed %d: %s", fenced, seed, violation)
			}
		}
		found = found || len(play(seed, false, true)) > 0
	}
	if !found {
		t.Error("clocks that stop in suspension break nothing")
	}
}
