package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
)

// Guards against refusing an unblocked request again after a restart. The stored record could not
// be deleted because the store was down when the request was unblocked.
func TestUnblockDuringStoreOutageSurvivesRestart(t *testing.T) {
	for seed := range uint64(10) {
		s := newPoisonSimulation(seed, 4, 3)
		tester := s.nodes[0]
		s.step(tester, RoutingInput{Event: routing.PoisonLearned{Records: []poison.Record{{Content: popularContent, Ends: []cluster.MachineID{"x", "y", "z"}}}}})
		s.runFor(5 * time.Second)
		if pairs, _ := s.store.Range(s.now, KeyPoison); len(pairs) != 1 {
			t.Fatalf("seed %d: %d records are in the store", seed, len(pairs))
		}
		s.storeDown = true
		s.step(tester, RoutingInput{Event: routing.PoisonProbeGranted{Content: popularContent}})
		s.popular["tried"] = true
		s.step(tester, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
			ID: "tried", Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: s.now.Add(8 * time.Second), Content: popularContent,
		}}})
		s.runFor(3 * time.Second)
		s.storeDown, s.storeRecoveredAt = false, s.now
		s.runFor(10 * time.Second)
		s.killAllNodes()
		s.runFor(8 * time.Second)
		if pairs, _ := s.store.Range(s.now, KeyPoison); len(pairs) > 0 {
			t.Errorf("seed %d: the record stayed in the store", seed)
		}
		for _, n := range s.nodes {
			if record, _ := n.core.router.PoisonRecord(popularContent); !n.dead && n.core.poison.blocks(&record) {
				t.Errorf("seed %d: %s refuses the acquitted request again", seed, n.id)
			}
		}
	}
}

// Guards against pardoning a request because its stored record can't be decoded. A node that
// knows the block writes the record again.
func TestUndecodablePoisonRecordIsRewritten(t *testing.T) {
	s := newPoisonSimulation(3, 4, 3)
	s.step(s.nodes[0], RoutingInput{Event: routing.PoisonLearned{Records: []poison.Record{{Content: harmfulContent, Ends: []cluster.MachineID{"x", "y", "z"}}}}})
	s.runFor(5 * time.Second)
	key := KeyPoison + harmfulContent.String()
	s.writeStore(keyvalue.Operation{Key: key, Value: []byte("?")})
	s.runFor(10 * time.Second)
	pairs, _ := s.store.Range(s.now, key)
	if len(pairs) != 1 {
		t.Fatalf("%d records", len(pairs))
	}
	if stored, err := DecodePoison(key, pairs[0].Value); err != nil || stored.Record.AttributedEndCount() != 3 {
		t.Errorf("the record is %q: %v", pairs[0].Value, err)
	}
	for _, n := range s.nodes {
		if record, _ := n.core.router.PoisonRecord(harmfulContent); !n.core.poison.blocks(&record) {
			t.Errorf("%s accepts the convicted request", n.id)
		}
	}
}

// Guards against using up the probe of a blocked request at machines that can't be reached or
// reject it: only a run of the request uses the probe.
func TestUnrunPoisonProbeRemainsAvailable(t *testing.T) {
	s := newPoisonSimulation(5, 3, 2)
	tester := s.nodes[0]
	s.step(tester, RoutingInput{Event: routing.PoisonLearned{Records: []poison.Record{{Content: popularContent, Ends: []cluster.MachineID{"x", "y", "z"}}}}})
	s.runFor(2 * time.Second)
	s.step(tester, RoutingInput{Event: routing.PoisonProbeGranted{Content: popularContent}})
	ask := func() {
		s.requestCount++
		id := cluster.RequestID(fmt.Sprintf("r%d", s.requestCount))
		s.popular[id] = true
		s.step(tester, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
			ID: id, Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: s.now.Add(500 * time.Millisecond), Content: popularContent,
		}}})
	}
	for _, e := range s.engines {
		e.dead = true
	}
	ask()
	s.runFor(time.Second)
	for _, e := range s.engines {
		e.dead = false
	}
	for range 10 {
		s.runFor(time.Second)
		ask()
	}
	s.runFor(time.Second)
	if record, _ := tester.core.router.PoisonRecord(popularContent); tester.core.poison.blocks(&record) {
		t.Error("the request is still refused, although its test never ran")
	}
}

// Guards against waiting for nodes that ended before they used their probe. Another node probes the
// request at once, but never beyond the allowed number of probes.
func TestPoisonProbeOfEndedNodeIsRepeated(t *testing.T) {
	for tests, want := range map[int]bool{1: true, 2: true, 3: false} {
		s := newPoisonSimulation(7, 4, 3)
		s.runFor(2 * time.Second)
		stored := StoredPoisonRecord{
			Record: poison.Record{Content: popularContent, Ends: []cluster.MachineID{"x", "y", "z"}}, Probes: tests, Prober: "ended-1",
		}
		s.writeStore(keyvalue.Operation{Key: KeyPoison + popularContent.String(), Value: encodePoison(&stored)})
		s.runFor(2 * time.Second)
		for n := range 6 {
			id := cluster.RequestID(fmt.Sprintf("r%d", n))
			s.popular[id] = true
			s.step(s.nodes[0], RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
				ID: id, Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: s.now.Add(2 * time.Second), Content: popularContent,
			}}})
			s.runFor(700 * time.Millisecond)
		}
		record, _ := s.nodes[0].core.router.PoisonRecord(popularContent)
		if unblocked := !s.nodes[0].core.poison.blocks(&record); unblocked != want {
			t.Errorf("after %d tests of nodes that ended: acquitted %v, want %v", tests, unblocked, want)
		}
	}
}

// Guards against refusing a request for the hour of its block because the machine of its last probe
// did not answer, and against another probe of a request under whose last probe a machine ended.
func TestInconclusivePoisonProbeIsRepeated(t *testing.T) {
	for _, c := range []struct {
		name              string
		tests, endsBefore int
		want              bool
	}{
		{"no machine ended under the last test", maxPoisonProbes, 3, true},
		{"a machine ended under the last test", maxPoisonProbes, 2, false},
		{"all tests used", maxPoisonProbes + 1, 3, false},
	} {
		s := newPoisonSimulation(7, 4, 3)
		s.runFor(2 * time.Second)
		stored := StoredPoisonRecord{
			Record: poison.Record{Content: popularContent, Ends: []cluster.MachineID{"x", "y", "z"}},
			Probes: c.tests, Prober: s.nodes[1].id, EndsBefore: c.endsBefore,
		}
		s.writeStore(keyvalue.Operation{Key: KeyPoison + popularContent.String(), Value: encodePoison(&stored)})
		s.runFor(poisonProbeSpacing + 2*time.Second)
		for n := range 6 {
			id := cluster.RequestID(fmt.Sprintf("r%d", n))
			s.popular[id] = true
			s.step(s.nodes[0], RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
				ID: id, Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: s.now.Add(2 * time.Second), Content: popularContent,
			}}})
			s.runFor(700 * time.Millisecond)
		}
		record, _ := s.nodes[0].core.router.PoisonRecord(popularContent)
		if unblocked := !s.nodes[0].core.poison.blocks(&record); unblocked != c.want {
			t.Errorf("%s: acquitted %v, want %v", c.name, unblocked, c.want)
		}
	}
}

// Guards against a request that many ask for and that stays blocked while the machine of its probe hangs:
// once that is silent the next request is a probe, at whatever node, but never beyond the allowed number.
func TestSilentPoisonProbeIsRepeatedAtOnce(t *testing.T) {
	for probes, want := range map[int]bool{1: true, maxPoisonProbes: true, maxPoisonProbes + 1: false} {
		s := newPoisonSimulation(7, 4, 3)
		s.runFor(2 * time.Second)
		prober := s.nodes[1]
		stored := StoredPoisonRecord{
			Record: poison.Record{Content: popularContent, Ends: []cluster.MachineID{"x", "y", "z"}}, Probes: probes, Prober: prober.id, EndsBefore: 3,
		}
		s.writeStore(keyvalue.Operation{Key: KeyPoison + popularContent.String(), Value: encodePoison(&stored)})
		s.runFor(2 * time.Second)
		prober.core.effects = nil
		prober.core.poison.returnProbe(popularContent)
		for _, effect := range prober.core.effects {
			if write, ok := effect.(StoreWrite); ok {
				s.writeStore(keyvalue.Operation{Key: write.Key, Value: write.Value})
			}
		}
		s.runFor(500 * time.Millisecond)
		for n := range 3 {
			id := cluster.RequestID(fmt.Sprintf("r%d", n))
			s.popular[id] = true
			s.step(s.nodes[0], RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
				ID: id, Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: s.now.Add(2 * time.Second), Content: popularContent,
			}}})
			s.runFor(700 * time.Millisecond)
		}
		record, _ := s.nodes[0].core.router.PoisonRecord(popularContent)
		if unblocked := !s.nodes[0].core.poison.blocks(&record); unblocked != want {
			t.Errorf("after %d probes, the last one silent: acquitted %v, want %v", probes, unblocked, want)
		}
	}
}

// Guards against a request that many ask for and that stays blocked until the one node with the
// permission for its probe gets it again, which takes the longer the more nodes there are: the
// request that asks for the probe is sent as the probe. The store loses no answers here: a node that does not learn
// that it has the permission can't use it.
func TestRareRequestIsProbedAtItsFirstNode(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { testRareRequestIsProbed(t, seed) })
	}
}

func testRareRequestIsProbed(t *testing.T, seed uint64) {
	t.Helper()
	s := newPoisonSimulation(seed, 12, 3)
	s.answersKept = true
	s.step(s.nodes[0], RoutingInput{Event: routing.PoisonLearned{Records: []poison.Record{{Content: popularContent, Ends: []cluster.MachineID{"x", "y", "z"}}}}})
	s.runFor(3 * time.Second)
	s.popular["tried"] = true
	s.step(s.nodes[5], RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: "tried", Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: s.now.Add(4 * time.Second), Content: popularContent,
	}}})
	s.runFor(2 * time.Second)
	for _, n := range s.nodes {
		if record, _ := n.core.router.PoisonRecord(popularContent); n.core.poison.blocks(&record) {
			t.Errorf("%s still refuses the request", n.id)
		}
	}
}
