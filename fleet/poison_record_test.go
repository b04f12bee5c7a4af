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

// TestAcquittalOutlivesAnOutage: a request that is found harmless while the store is away is
// not refused again by nodes that start after it, by the record that could not be deleted.
func TestAcquittalOutlivesAnOutage(t *testing.T) {
	for seed := range uint64(10) {
		p := newPoisonPlay(seed, 4, 3)
		tester := p.nodes[0]
		p.step(tester, RoutingInput{Event: routing.PoisonLearned{Records: []poison.Record{{Content: popularContent, Ends: []cluster.MachineID{"x", "y", "z"}}}}})
		p.runFor(5 * time.Second)
		if pairs, _ := p.store.Range(p.now, KeyPoison); len(pairs) != 1 {
			t.Fatalf("seed %d: %d records are in the store", seed, len(pairs))
		}
		p.storeDown = true
		p.step(tester, RoutingInput{Event: routing.PoisonTestGranted{Content: popularContent}})
		p.same["tried"] = true
		p.step(tester, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
			ID: "tried", Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: p.now.Add(8 * time.Second), Content: popularContent,
		}}})
		p.runFor(3 * time.Second)
		p.storeDown, p.shaken = false, p.now
		p.runFor(10 * time.Second)
		p.powerLost()
		p.runFor(8 * time.Second)
		if pairs, _ := p.store.Range(p.now, KeyPoison); len(pairs) > 0 {
			t.Errorf("seed %d: the record stayed in the store", seed)
		}
		for _, n := range p.nodes {
			if record, _ := n.core.router.PoisonRecord(popularContent); !n.dead && n.core.poison.convicts(&record) {
				t.Errorf("seed %d: %s refuses it again", seed, n.id)
			}
		}
	}
}

// TestUnreadableRecordIsReplaced: a record in the store that can't be read pardons nobody, and
// a node that knows what it said writes it anew.
func TestUnreadableRecordIsReplaced(t *testing.T) {
	p := newPoisonPlay(3, 4, 3)
	p.step(p.nodes[0], RoutingInput{Event: routing.PoisonLearned{Records: []poison.Record{{Content: harmfulContent, Ends: []cluster.MachineID{"x", "y", "z"}}}}})
	p.runFor(5 * time.Second)
	key := KeyPoison + harmfulContent.String()
	p.write(keyvalue.Operation{Key: key, Value: []byte("?")})
	p.runFor(10 * time.Second)
	pairs, _ := p.store.Range(p.now, key)
	if len(pairs) != 1 {
		t.Fatalf("%d records", len(pairs))
	}
	if stored, err := DecodePoison(key, pairs[0].Value); err != nil || stored.Record.Standing() != 3 {
		t.Errorf("the record is %q: %v", pairs[0].Value, err)
	}
	for _, n := range p.nodes {
		if record, _ := n.core.router.PoisonRecord(harmfulContent); !n.core.poison.convicts(&record) {
			t.Errorf("%s takes the request", n.id)
		}
	}
}

// TestTestThatDidNotRunIsKept: leave to try a convicted request once more is used by a run of
// it, not by machines that can't be reached or reject it.
func TestTestThatDidNotRunIsKept(t *testing.T) {
	p := newPoisonPlay(5, 3, 2)
	tester := p.nodes[0]
	p.step(tester, RoutingInput{Event: routing.PoisonLearned{Records: []poison.Record{{Content: popularContent, Ends: []cluster.MachineID{"x", "y", "z"}}}}})
	p.runFor(2 * time.Second)
	p.step(tester, RoutingInput{Event: routing.PoisonTestGranted{Content: popularContent}})
	ask := func() {
		p.requests++
		id := cluster.RequestID(fmt.Sprintf("r%d", p.requests))
		p.same[id] = true
		p.step(tester, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
			ID: id, Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: p.now.Add(500 * time.Millisecond), Content: popularContent,
		}}})
	}
	for _, e := range p.engines {
		e.dead = true
	}
	ask()
	p.runFor(time.Second)
	for _, e := range p.engines {
		e.dead = false
	}
	for range 10 {
		p.runFor(time.Second)
		ask()
	}
	p.runFor(time.Second)
	if record, _ := tester.core.router.PoisonRecord(popularContent); tester.core.poison.convicts(&record) {
		t.Error("the request is refused, and was never tried")
	}
}

// TestTesterThatEndedIsFollowed: where the nodes that were to try a convicted request again have
// ended, another one does without waiting for them, but never beyond what is allowed in all.
func TestTesterThatEndedIsFollowed(t *testing.T) {
	for tests, want := range map[int]bool{1: true, 2: true, 3: false} {
		p := newPoisonPlay(7, 4, 3)
		p.runFor(2 * time.Second)
		stored := PoisonStored{
			Record: poison.Record{Content: popularContent, Ends: []cluster.MachineID{"x", "y", "z"}}, Tests: tests, Tester: "ended-1",
		}
		p.write(keyvalue.Operation{Key: KeyPoison + popularContent.String(), Value: encodePoison(&stored)})
		p.runFor(2 * time.Second)
		for n := range 6 {
			id := cluster.RequestID(fmt.Sprintf("r%d", n))
			p.same[id] = true
			p.step(p.nodes[0], RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
				ID: id, Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: p.now.Add(2 * time.Second), Content: popularContent,
			}}})
			p.runFor(700 * time.Millisecond)
		}
		record, _ := p.nodes[0].core.router.PoisonRecord(popularContent)
		if acquitted := !p.nodes[0].core.poison.convicts(&record); acquitted != want {
			t.Errorf("after %d tests of nodes that ended: acquitted %v, want %v", tests, acquitted, want)
		}
	}
}

// TestTestThatSaysNothingIsFollowed guards against a request that is refused for the hour of its
// conviction since the machine that was to run its last test answered nothing, and against one more
// test of a request by whose last one a machine ended.
func TestTestThatSaysNothingIsFollowed(t *testing.T) {
	for _, c := range []struct {
		name              string
		tests, endsBefore int
		want              bool
	}{
		{"no machine ended by the last test", maxPoisonTests, 3, true},
		{"a machine ended by it", maxPoisonTests, 2, false},
		{"all that is allowed", maxPoisonTests + 1, 3, false},
	} {
		p := newPoisonPlay(7, 4, 3)
		p.runFor(2 * time.Second)
		stored := PoisonStored{
			Record: poison.Record{Content: popularContent, Ends: []cluster.MachineID{"x", "y", "z"}},
			Tests:  c.tests, Tester: p.nodes[1].id, EndsBefore: c.endsBefore,
		}
		p.write(keyvalue.Operation{Key: KeyPoison + popularContent.String(), Value: encodePoison(&stored)})
		p.runFor(poisonTestSpacing + 2*time.Second)
		for n := range 6 {
			id := cluster.RequestID(fmt.Sprintf("r%d", n))
			p.same[id] = true
			p.step(p.nodes[0], RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
				ID: id, Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: p.now.Add(2 * time.Second), Content: popularContent,
			}}})
			p.runFor(700 * time.Millisecond)
		}
		record, _ := p.nodes[0].core.router.PoisonRecord(popularContent)
		if acquitted := !p.nodes[0].core.poison.convicts(&record); acquitted != c.want {
			t.Errorf("%s: acquitted %v, want %v", c.name, acquitted, c.want)
		}
	}
}
