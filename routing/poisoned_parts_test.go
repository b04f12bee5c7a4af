package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
)

var (
	harmfulPart = poison.PartFingerprint(0xdead0001)
	commonPart  = poison.PartFingerprint(0x50000001)
)

// withParts gives a request a content of its own and the given parts.
func withParts(parts ...poison.Fingerprint) func(*Request) {
	return func(r *Request) {
		content := poison.Content{Body: []byte(r.ID)}
		r.Content, r.Parts, r.Caller = content.Fingerprint(), parts, 7
	}
}

// crash ends the machine under a request that arrives.
func (f *fixture) crash(n int, parts ...poison.Fingerprint) {
	f.t.Helper()
	id, machine := cluster.RequestID(fmt.Sprintf("crash-%d", n)), cluster.MachineID(fmt.Sprintf("m%d", n))
	f.status(true, loaded(machine, 4))
	f.expect(f.arrive(id, withParts(parts...)), fmt.Sprintf("dispatch %s/1 to %s; ", id, machine))
	f.step(AttemptEnded{
		Request: id, Attempt: 1, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "reset"), Broken: true, MachineEnded: true,
	})
}

// TestRequestsBesideHarmfulPartGoOn guards against sound requests that are refused, or ended at the machine, with
// those whose part is blocked: they share the caller and another part, and some have begun.
func TestRequestsBesideHarmfulPartGoOn(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m0", 4))
	f.expect(f.arrive("sound", withParts(commonPart)), "dispatch sound/1 to m0; ")
	f.expect(f.step(AttemptEnded{Request: "sound", Attempt: 1}), "finish sound; ")
	for n := 1; n <= poison.DefaultEnds; n++ {
		f.crash(n, commonPart, harmfulPart)
	}
	f.status(true, loaded("m9", 4))
	f.expect(f.arrive("harmful", withParts(commonPart, harmfulPart)), "finish harmful poison_request not-run; ")
	f.expect(f.arrive("beside", withParts(commonPart)), "dispatch beside/1 to m9; ")
}

// TestAnswerUnderWayClearsItsParts guards against parts that are blamed although the machine had written the
// answer for a while when it ended.
func TestAnswerUnderWayClearsItsParts(t *testing.T) {
	f := newFixture(t, testPolicy())
	for n := 1; n <= 2*poison.DefaultEnds; n++ {
		id, machine := cluster.RequestID(fmt.Sprintf("s%d", n)), cluster.MachineID(fmt.Sprintf("m%d", n))
		f.status(true, loaded(machine, 4))
		f.arrive(id, withParts(commonPart))
		f.step(FirstByteSent{Request: id})
		f.advance(soundAnswerTime)
		f.step(AttemptEnded{Request: id, Attempt: 1, Failure: verdict.New(verdict.Ran, verdict.CodeStreamCut, "reset"), Broken: true, MachineEnded: true})
	}
	if _, blocked := f.router.PoisonCounts(); f.router.blocked(commonPart) {
		t.Errorf("%d contents are blocked, the part among them", blocked)
	}
}

// TestBlockedPartEndsWhatIsUnderWay guards against a request that waits at a machine, and ends it when its turn
// comes, after its part is blocked.
func TestBlockedPartEndsWhatIsUnderWay(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("busy", 4))
	f.expect(f.arrive("waits there", withParts(harmfulPart)), "dispatch waits there/1 to busy; ")
	f.expect(f.arrive("answered", withParts(harmfulPart)), "dispatch answered/1 to busy; ")
	f.step(FirstByteSent{Request: "answered"})
	record := poison.Record{Content: harmfulPart, Ends: []cluster.MachineID{"a", "b", "c"}, Requests: []uint64{1, 2}}
	f.expect(f.step(PoisonLearned{Records: []poison.Record{record}}), "cancel waits there/1 at busy; finish waits there poison_request may-have-run; ")
}

// TestBlockedPartIsProbedOnce guards against a part that stays blocked although it is harmless by now, and against
// a probe by a request that is blocked for another reason too.
func TestBlockedPartIsProbedOnce(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	other := poison.PartFingerprint(3)
	for _, part := range []poison.Fingerprint{harmfulPart, other} {
		f.step(PoisonLearned{Records: []poison.Record{{Content: part, Ends: []cluster.MachineID{"a", "b", "c"}, Requests: []uint64{1, 2}}}})
	}
	f.advance(2 * time.Second)
	f.expect(f.arrive("both", withParts(harmfulPart, other)), "finish both poison_request not-run; ")
	wanted := f.arrive("probe", withParts(harmfulPart))
	if len(wanted) != 1 || wanted[0] != (PoisonProbeWanted{Content: harmfulPart}) {
		t.Fatalf("effects %v", wanted)
	}
	f.expect(f.step(PoisonProbeGranted{Content: harmfulPart}), "dispatch probe/1 to m1; ")
	f.expect(f.arrive("meanwhile", withParts(harmfulPart)), "finish meanwhile poison_request not-run; ")
	f.expect(f.step(AttemptEnded{Request: "probe", Attempt: 1}), "finish probe; ")
	f.expect(f.arrive("after", withParts(harmfulPart)), "dispatch after/1 to m1; ")
}

// TestProbeOfBlockedPartBlamesNoOtherPart guards against parts beside a blocked one that are blocked in turn by the
// ends of its probes, while sound requests with them are rare.
func TestProbeOfBlockedPartBlamesNoOtherPart(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.step(PoisonLearned{Records: []poison.Record{{Content: harmfulPart, Ends: []cluster.MachineID{"a", "b", "c"}, Requests: []uint64{1, 2}}}})
	for n := 1; n <= poison.DefaultEnds; n++ {
		f.step(PoisonProbeGranted{Content: harmfulPart})
		f.crash(n, commonPart, harmfulPart)
	}
	if record, _ := f.router.PoisonRecord(commonPart); record.AttributedEndCount() > 0 {
		t.Errorf("the part beside it is blamed for %v", record.Ends)
	}
}

// TestBlockedPartIsNotProbedBesideSuspectedOne guards against sound requests that are refused for as long as a block lasts: the
// part that they share is blocked before the harmful one, since an end of another cause counts against it, and harmful
// requests use up its probes.
func TestBlockedPartIsNotProbedBesideSuspectedOne(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.crash(1, commonPart)
	f.crash(2, commonPart, harmfulPart)
	f.crash(3, commonPart, harmfulPart)
	f.status(true, loaded("m9", 4))
	f.advance(10 * time.Second)
	f.expect(f.arrive("harmful", withParts(commonPart, harmfulPart)), "finish harmful poison_request not-run; ")
	if wanted := f.arrive("sound", withParts(commonPart)); len(wanted) != 1 || wanted[0] != (PoisonProbeWanted{Content: commonPart}) {
		t.Fatalf("a sound request wants %s, want a probe", describe(wanted))
	}
	f.expect(f.step(PoisonProbeGranted{Content: commonPart}), "dispatch sound/1 to m9; ")
	f.step(AttemptEnded{Request: "sound", Attempt: 1})
	f.expect(f.arrive("another", withParts(commonPart)), "dispatch another/1 to m9; ")
	f.expect(f.step(AttemptEnded{Request: "another", Attempt: 1}), "finish another; ")
	f.crash(10, commonPart, harmfulPart)
	f.status(true, loaded("m9", 4))
	f.expect(f.arrive("harmful again", withParts(commonPart, harmfulPart)), "finish harmful again poison_request not-run; ")
	f.expect(f.arrive("last", withParts(commonPart)), "dispatch last/1 to m9; ")
}
