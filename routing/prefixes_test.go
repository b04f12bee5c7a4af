package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// longPrompt has four blocks, so its longest recorded prefix has four.
var longPrompt = []uint64{1, 2, 3, 4}

func published(machine cluster.MachineID, prefixes ...uint64) PrefixesReceived {
	return PrefixesReceived{Groups: []wire.PrefixGroup{{Machine: machine, Model: "chat", Hashes: prefixes}}}
}

// TestOnlyPromptsReadByEngineArePublished guards against publishing a prompt that an engine refused
// and thus did not cache. Only the machine that began to answer it is published.
func TestOnlyPromptsReadByEngineArePublished(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4), loaded("m2", 4))
	refusing := f.arrive("a", func(r *Request) { r.Prefixes = longPrompt })[0].(Dispatch).Machine
	again := f.step(AttemptEnded{Request: "a", Attempt: 1, EngineFull: true, Failure: verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "full")})
	reading := again[0].(Dispatch).Machine
	if groups := f.router.SentPrefixes(); len(groups) != 0 {
		t.Fatalf("published before an engine answered: %v", groups)
	}
	f.step(FirstByteSent{Request: "a"})
	groups := f.router.SentPrefixes()
	if len(groups) != 1 || groups[0].Machine != reading || reading == refusing || !slices.Equal(groups[0].Hashes, []uint64{4}) {
		t.Fatalf("%s refused, %s read the prompt, published %v", refusing, reading, groups)
	}
	if groups := f.router.SentPrefixes(); len(groups) != 0 {
		t.Fatalf("published twice: %v", groups)
	}
}

// TestPublishedPrefixesDirectRequests guards against requests that ignore prefixes published by
// other routers, or that follow those that are late, wrong or outdated.
func TestPublishedPrefixesDirectRequests(t *testing.T) {
	const others = 11
	for _, test := range []struct {
		name  string
		given func(f *fixture)
		// follows is set if requests are expected to go to the published machine.
		follows bool
	}{
		{"published", func(f *fixture) { f.step(published("m05", 4)) }, true},
		{"shorter prefix published", func(f *fixture) { f.step(published("m05", 2)) }, true},
		{"nothing published", func(*fixture) {}, false},
		{"message lost, next one received", func(f *fixture) { f.advance(time.Minute); f.step(published("m05", 4)) }, true},
		{"another prompt", func(f *fixture) { f.step(published("m05", 99)) }, false},
		{"half an hour old", func(f *fixture) { f.step(published("m05", 4)); f.advance(30 * time.Minute) }, false},
		{"machine unknown", func(f *fixture) { f.step(published("elsewhere", 4)) }, false},
		{"model unknown", func(f *fixture) {
			f.step(PrefixesReceived{Groups: []wire.PrefixGroup{{Machine: "m05", Model: "other", Hashes: []uint64{4}}}})
		}, false},
		{"cache moved", func(f *fixture) {
			f.step(published("m01", 4))
			f.step(CacheMoved{Model: "chat", From: "m01", To: "m05"})
			f.step(MachineLeaving{Machine: "m01"})
		}, true},
		{"cache of another model moved", func(f *fixture) {
			f.step(published("m01", 4))
			f.step(CacheMoved{Model: "other", From: "m01", To: "m05"})
			f.step(MachineLeaving{Machine: "m01"})
		}, false},
		{"cache moved to a machine that is gone", func(f *fixture) {
			f.step(published("m01", 4))
			gone := loaded("m05", 64)
			gone.State = cluster.ReplicaAbsent
			f.status(false, gone)
			f.step(CacheMoved{Model: "chat", From: "m01", To: "m05"})
			f.status(false, loaded("m05", 64))
			f.step(MachineLeaving{Machine: "m01"})
		}, false},
		{"machine leaving", func(f *fixture) { f.step(published("m05", 4)); f.step(MachineLeaving{Machine: "m05"}) }, false},
		{"engine restarted", func(f *fixture) {
			f.step(published("m05", 4))
			gone := loaded("m05", 64)
			gone.State = cluster.ReplicaAbsent
			f.status(false, gone)
			f.status(false, loaded("m05", 64))
		}, false},
		{"published for a machine that is gone", func(f *fixture) {
			gone := loaded("m05", 64)
			gone.State = cluster.ReplicaAbsent
			f.status(false, gone)
			f.step(published("m05", 4))
			f.status(false, loaded("m05", 64))
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t, testPolicy())
			var records []wire.ReplicaRecord
			for i := range others + 1 {
				records = append(records, loaded(cluster.MachineID(fmt.Sprintf("m%02d", i)), 64))
			}
			f.status(true, records...)
			test.given(f)
			choice := f.arrive("a", func(r *Request) { r.Prefixes = longPrompt })[0].(Dispatch)
			expected := choice.Reason.Candidates[0].PrefixBlocks
			if follows := choice.Machine == "m05" && expected > 0; follows != test.follows {
				t.Errorf("dispatched to %s with %v expected blocks, directed by the published prefix: %v", choice.Machine, expected, test.follows)
			}
		})
	}
}
