package routing

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/routing/poison"
)

// newBlockedFixture returns a fixture with a free machine and a blocked content whose probe is due.
func newBlockedFixture(t *testing.T) (*fixture, poison.Fingerprint) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	popular := poison.Fingerprint{2}
	f.block(popular)
	f.advance(2 * time.Second)
	return f, popular
}

// TestBlockedRequestThatAskedForProbeIsSentAsProbe guards against a request that many ask for and
// that stays blocked until the node with the permission for its probe gets it once more, which took
// seconds with twelve nodes.
func TestBlockedRequestThatAskedForProbeIsSentAsProbe(t *testing.T) {
	f, popular := newBlockedFixture(t)
	asked := f.arrive("a", withContent(popular))
	if len(asked) != 1 || asked[0] != (PoisonProbeWanted{Content: popular}) {
		t.Fatalf("effects %v, want that a probe is wanted", asked)
	}
	f.expect(f.arrive("b", withContent(popular)), "finish b poison_request not-run; ")
	f.expect(f.arrive("other"), "dispatch other/1 to m1; ")
	granted := f.step(PoisonProbeGranted{Content: popular})
	f.expect(granted, "dispatch a/1 to m1; ")
	if !granted[0].(Dispatch).Probe {
		t.Error("the dispatch does not say that it is a probe")
	}
	f.expect(f.step(AttemptEnded{Request: "a", Attempt: 1}), "finish a; ")
	f.expect(f.arrive("c", withContent(popular)), "dispatch c/1 to m1; ")
}

// TestRequestWithoutProbeIsRefused guards against a blocked request that is kept waiting although
// another node sends the probe, the store does not answer or the node stops, and against one that is
// refused although the request was cleared meanwhile.
func TestRequestWithoutProbeIsRefused(t *testing.T) {
	for name, test := range map[string]struct {
		then func(f *fixture, content poison.Fingerprint) []Effect
		want string
	}{
		"denied": {func(f *fixture, content poison.Fingerprint) []Effect {
			return f.step(PoisonProbeDenied{Content: content})
		}, "finish a poison_request not-run; "},
		"no answer": {func(f *fixture, _ poison.Fingerprint) []Effect { return f.advance(probeGrantTimeout) }, "finish a poison_request not-run; "},
		"drain":     {func(f *fixture, _ poison.Fingerprint) []Effect { return f.step(DrainStarted{}) }, "finish a node_draining not-run; "},
		"pardoned":  {func(f *fixture, content poison.Fingerprint) []Effect { return f.step(PoisonPardoned{Content: content}) }, "dispatch a/1 to m1; "},
	} {
		f, popular := newBlockedFixture(t)
		f.arrive("a", withContent(popular))
		if got := describe(test.then(f, popular)); got != test.want {
			t.Errorf("%s: effects %q, want %q", name, got, test.want)
		}
	}
}

// TestUnusedProbeIsKeptForTheNextRequest guards against losing a probe whose permission comes after
// the request that asked for it has ended.
func TestUnusedProbeIsKeptForTheNextRequest(t *testing.T) {
	f, popular := newBlockedFixture(t)
	f.arrive("a", withContent(popular))
	f.advance(probeGrantTimeout)
	f.expect(f.step(PoisonProbeGranted{Content: popular}), "")
	f.expect(f.arrive("b", withContent(popular)), "dispatch b/1 to m1; ")
	broken := f.failUnderEnd("b", 1, popular)
	f.expect(broken, "finish b engine_failed may-have-run; ")
	f.expect(f.arrive("c", withContent(popular)), "")
	f.expect(f.step(PoisonProbeDenied{Content: popular}), "finish c poison_request not-run; ")
}

// TestSilentProbeIsReportedOnce guards against a content that stays blocked while the machine of its probe hangs,
// and against a silent probe that keeps others waiting.
func TestSilentProbeIsReportedOnce(t *testing.T) {
	f, popular := newBlockedFixture(t)
	f.arrive("a", withContent(popular))
	f.expect(f.step(PoisonProbeGranted{Content: popular}), "dispatch a/1 to m1; ")
	silent := f.step(AttemptSilent{Request: "a", Attempt: 1})
	if len(silent) != 1 || silent[0] != (PoisonProbeSilent{Content: popular}) {
		t.Fatalf("effects %v", silent)
	}
	if again := f.step(AttemptSilent{Request: "a", Attempt: 1}); len(again) != 0 {
		t.Errorf("effects of the second report: %v", again)
	}
	if asked := f.arrive("b", withContent(popular)); len(asked) != 1 || asked[0] != (PoisonProbeWanted{Content: popular}) {
		t.Errorf("effects %v, want that another probe is wanted", asked)
	}
}
