package plan

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var testSize = Size{Nodes: 4, Workers: 5, Span: 20 * time.Second}

// TestDrawIsDeterministicAndSurvivesEncoding guards against
// schedules that can't be reproduced: a seed must always give the same schedule, and
// encoding and parsing must preserve it.
func TestDrawIsDeterministicAndSurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		schedule := Draw(seed, testSize)
		if again := Draw(seed, testSize); !reflect.DeepEqual(schedule, again) {
			t.Fatal("two draws of one seed differ")
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
			t.Fatalf("the parsed schedule differs from the encoded one:\n%s", text)
		}
	})
}

// TestDrawCoversAllKindsAndAllTargets guards against kinds that are listed but never
// drawn: 200 seeds must draw every kind, and some fault on all targets at once.
func TestDrawCoversAllKindsAndAllTargets(t *testing.T) {
	drawn := map[Kind]bool{}
	all := 0
	for seed := range uint64(200) {
		size := testSize
		size.Upgrades, size.Restores, size.LateEntries, size.Surplus = seed%2 == 0, seed%3 == 0, seed%5 == 0, seed%7 == 0
		size.AllKilled = seed%11 == 0
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
		t.Error("no fault applies to all targets")
	}
}

// TestParseRejectsUnknownKindsLinksAndTargets guards against schedule
// files whose mistakes would go unnoticed because a fault is never injected.
func TestParseRejectsUnknownKindsLinksAndTargets(t *testing.T) {
	for _, text := range []string{
		"nodes: 2\nworkers: 2\nspan: 5s\nfaults: [{at: 1s, kind: flood}]",
		"nodes: 2\nworkers: 2\nspan: 5s\nfaults: [{at: 1s, kind: link-reset, link: moon}]",
		"nodes: 2\nworkers: 2\nspan: 5s\nfaults: [{at: 1s, kind: process-kill, targets: [2]}]",
		"nodes: 0\nworkers: 2\nspan: 5s",
	} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("Parse accepted an invalid schedule:\n%s", text)
		}
	}
}

// TestUntilDropsLaterFaults checks that faults at or after the new end are removed.
func TestUntilDropsLaterFaults(t *testing.T) {
	cut := Draw(7, testSize).Until(9 * time.Second)
	if len(cut.Faults) == 0 || cut.Span != 9*time.Second {
		t.Fatalf("%d faults in a span of %s", len(cut.Faults), cut.Span)
	}
	for _, fault := range cut.Faults {
		if fault.At >= cut.Span {
			t.Errorf("%+v was kept although it begins after the end", fault)
		}
	}
}

// TestShrinkKeepsOnlyTheFailingPair checks that exactly two faults remain of a schedule
// that fails only while it has both.
func TestShrinkKeepsOnlyTheFailingPair(t *testing.T) {
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

// TestShrinkRejectsPassingSchedule checks that a schedule that does not fail is reported
// as an error and not returned as the smallest failing one.
func TestShrinkRejectsPassingSchedule(t *testing.T) {
	if _, err := Shrink(Draw(3, testSize), 200, func(Schedule) (bool, error) { return false, nil }); err == nil {
		t.Error("Shrink returned no error for a schedule that passes")
	}
}
