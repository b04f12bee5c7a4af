package plan

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testSize = Size{Nodes: 4, Workers: 5, Span: 20 * time.Second}

// TestSeedRepeats: a seed draws one schedule, which survives its text.
func TestSeedRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		schedule := Draw(seed, testSize)
		if again := Draw(seed, testSize); !reflect.DeepEqual(schedule, again) {
			t.Fatal("a seed drew two schedules")
		}
		text, err := schedule.Encode()
		if err != nil {
			t.Fatal(err)
		}
		read, err := Parse(text)
		if err != nil {
			t.Fatalf("%v in\n%s", err, text)
		}
		if !reflect.DeepEqual(schedule.Faults, read.Faults) || schedule.Span != read.Span || schedule.Fencing != read.Fencing {
			t.Fatalf("the text reads otherwise:\n%s", text)
		}
	})
}

// TestAllKindsAreDrawn within a few hundred seeds, also on all targets at once.
func TestAllKindsAreDrawn(t *testing.T) {
	drawn := map[Kind]bool{}
	all := 0
	for seed := range uint64(200) {
		size := testSize
		size.Upgrades = seed%2 == 0
		for _, fault := range Draw(seed, size).Faults {
			drawn[fault.Kind] = true
			if len(fault.Targets) >= testSize.Nodes {
				all++
			}
		}
	}
	for _, kind := range Kinds() {
		if !drawn[kind] {
			t.Errorf("%s was never drawn", kind)
		}
	}
	if all == 0 {
		t.Error("no fault strikes all targets")
	}
}

// TestUnknownIsRefused: kinds, links and targets that don't exist.
func TestUnknownIsRefused(t *testing.T) {
	for _, text := range []string{
		"nodes: 2\nworkers: 2\nspan: 5s\nfaults: [{at: 1s, kind: flood}]",
		"nodes: 2\nworkers: 2\nspan: 5s\nfaults: [{at: 1s, kind: link-reset, link: moon}]",
		"nodes: 2\nworkers: 2\nspan: 5s\nfaults: [{at: 1s, kind: process-kill, targets: [2]}]",
		"nodes: 0\nworkers: 2\nspan: 5s",
	} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("taken:\n%s", text)
		}
	}
}

// TestUntilCutsShort: faults from the time on are left out.
func TestUntilCutsShort(t *testing.T) {
	cut := Draw(7, testSize).Until(9 * time.Second)
	if len(cut.Faults) == 0 || cut.Span != 9*time.Second {
		t.Fatalf("%d faults in %s", len(cut.Faults), cut.Span)
	}
	for _, fault := range cut.Faults {
		if fault.At >= cut.Span {
			t.Errorf("%+v stayed", fault)
		}
	}
}

// TestShrinkFindsThePair: of a schedule that fails when two faults meet these stay.
func TestShrinkFindsThePair(t *testing.T) {
	schedule := Draw(3, testSize)
	if len(schedule.Faults) < 8 {
		t.Fatalf("only %d faults", len(schedule.Faults))
	}
	pair := []Fault{schedule.Faults[1], schedule.Faults[6]}
	has := func(s Schedule, fault Fault) bool {
		return slices.ContainsFunc(s.Faults, func(f Fault) bool { return reflect.DeepEqual(f, fault) })
	}
	shrunk, err := Shrink(schedule, 200, func(s Schedule) (bool, error) { return has(s, pair[0]) && has(s, pair[1]), nil })
	if err != nil || !reflect.DeepEqual(shrunk.Faults, pair) {
		t.Fatalf("%v, %+v", err, shrunk.Faults)
	}
}

// TestShrinkNeedsAFailure: a schedule that does not fail is not taken for small.
func TestShrinkNeedsAFailure(t *testing.T) {
	if _, err := Shrink(Draw(3, testSize), 200, func(Schedule) (bool, error) { return false, nil }); err == nil {
		t.Error("shrunk")
	}
}
