package affinity

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

const now = int64(1e18)

func stored(sequence uint64, prefix uint64) cluster.CacheEvent {
	return cluster.CacheEvent{Machine: "m1", Sequence: sequence, Model: "chat", PrefixHash: prefix}
}

func evicted(sequence uint64, prefix uint64) cluster.CacheEvent {
	event := stored(sequence, prefix)
	event.Evicted = true
	return event
}

// expectBlocks checks the expected number of cached blocks of the first match.
func expectBlocks(t *testing.T, x *Index, at int64, prefixes []uint64, want float64) {
	t.Helper()
	got := 0.0
	if matches := x.Lookup(at, "chat", prefixes, nil); len(matches) > 0 {
		got = matches[0].Blocks
	}
	if math.Abs(got-want) > 1e-3 {
		t.Fatalf("got %f blocks, want %f", got, want)
	}
}

// TestEventsSetExpectedBlocks checks the expected cached length after cache events that are late,
// missing or from a restarted engine, and after a half-life.
func TestEventsSetExpectedBlocks(t *testing.T) {
	chain := []uint64{11, 12, 13, 14, 15}
	for _, test := range []struct {
		name   string
		events []cluster.CacheEvent
		age    time.Duration
		want   float64
	}{
		{"nothing known", nil, 0, 0},
		{"longest prefix", []cluster.CacheEvent{stored(1, 11), stored(2, 12), stored(3, 13)}, 0, 2},
		{"between grid positions", []cluster.CacheEvent{stored(1, 14), stored(2, 15)}, 0, 4},
		{"another prompt", []cluster.CacheEvent{stored(1, 99)}, 0, 0},
		{"evicted", []cluster.CacheEvent{stored(1, 11), stored(2, 12), evicted(3, 12)}, 0, 1},
		{"late eviction counts", []cluster.CacheEvent{stored(1, 11), stored(3, 12), evicted(2, 11), evicted(2, 12)}, 0, 0},
		{"late storing does not", []cluster.CacheEvent{stored(5, 11), stored(3, 12)}, 0, 1},
		{"half-life", []cluster.CacheEvent{stored(1, 11), stored(2, 12)}, 5 * time.Minute, 1},
		{"gap of 64 events", []cluster.CacheEvent{stored(1, 12), stored(66, 99)}, 0, 2 * math.Exp(-1)},
		{"engine restarted", []cluster.CacheEvent{stored(5000, 12), stored(1, 99)}, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			x := New(Config{})
			for _, event := range test.events {
				x.Apply(now, event)
			}
			expectBlocks(t, x, now+int64(test.age), chain, test.want)
		})
	}
}

// TestSentPromptCountsAsCached checks that a sent prompt counts as cached with SentStrength, that
// an event raises it to certainty, and that Forget removes it.
func TestSentPromptCountsAsCached(t *testing.T) {
	x := New(Config{})
	x.AddSent(now, "m1", "chat", []uint64{1, 2, 3})
	expectBlocks(t, x, now, []uint64{1, 2, 9}, 2*0.7)
	x.Apply(now, stored(1, 2))
	expectBlocks(t, x, now, []uint64{1, 2, 9}, 2)
	x.Forget("m1")
	expectBlocks(t, x, now, []uint64{1, 2, 9}, 0)
}

// TestIndexIsBounded checks that the index is bounded and that the block counts of the machines, by
// which missed events are weighed, match the entries after evictions.
func TestIndexIsBounded(t *testing.T) {
	x := New(Config{MaxBlocks: 10})
	for i := range uint64(1000) {
		x.AddSent(now, cluster.MachineID(fmt.Sprint("m", i%9)), "chat", []uint64{i, i + 1})
	}
	if x.Len() != 10 {
		t.Fatalf("%d blocks, want 10", x.Len())
	}
	blocks := 0
	for _, machine := range x.machines {
		blocks += machine.blocks
	}
	held := 0
	for _, block := range x.blocks {
		for _, holder := range block.holders {
			if holder.machine != nil {
				held++
			}
		}
	}
	if blocks != held {
		t.Fatalf("the machines' block counts add up to %d, but there are %d entries", blocks, held)
	}
}
