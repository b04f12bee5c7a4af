package routing

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/verdict"
)

// A machine that starts again may answer at its address before its entry says so.

var brokeAndEnded = verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "broke")

// attributedEnds returns the number of ends that count against a content.
func (f *fixture) attributedEnds(content poison.Fingerprint) int {
	record, _ := f.router.PoisonRecord(content)
	return record.AttributedEndCount()
}

// endUnder sends a stream with the content, and ends the machine under it once the start has answered the question.
func (f *fixture) endUnder(id cluster.RequestID, content poison.Fingerprint, machine, start cluster.MachineID) {
	f.t.Helper()
	f.advance(time.Second)
	stream := func(r *Request) { r.Content, r.Resumable, r.Attempts = content, true, 1 }
	f.expect(f.arrive(id, stream), "dispatch "+string(id)+"/1 to "+string(machine)+"; ")
	f.step(MachineStartFound{Machine: machine, Start: start})
	f.step(AttemptEnded{Request: id, Attempt: 1, Broken: true, MachineEnded: true, Failure: brokeAndEnded})
}

// Guards against a request that ends machine after machine and is sent on, since the ends of two starts of one machine
// counted as one while the entry of the later start had not been read.
func TestEndsOfTwoStartsOfOneMachineCountAsTwo(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	harmful := poison.Fingerprint{1}
	f.endUnder("a", harmful, "m1", "m1")
	if got := f.attributedEnds(harmful); got != 1 {
		t.Fatalf("%d ends count after one", got)
	}
	f.step(MachineStartFound{Machine: "m1", Start: "m1-later"})
	f.endUnder("b", harmful, "m1", "m1-later")
	if got := f.attributedEnds(harmful); got != 2 {
		t.Errorf("%d ends count after two", got)
	}
}

// Guards against an end that is never counted, since the later start of the machine answered another request before
// its entry was read and so seemed to show that the machine had not ended.
func TestAnswerOfLaterStartDoesNotClearEnd(t *testing.T) {
	for name, known := range map[string]bool{"later start known": true, "later start unknown": false} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, testPolicy())
			f.status(true, loaded("m1", 4))
			harmful := poison.Fingerprint{1}
			f.endUnder("a", harmful, "m1", "m1")
			if known {
				f.step(MachineStartFound{Machine: "m1", Start: "m1-later"})
			}
			f.advance(time.Second)
			f.expect(f.arrive("b", func(r *Request) { r.Content = poison.Fingerprint{2} }), "dispatch b/1 to m1; ")
			f.step(AttemptEnded{Request: "b", Attempt: 1})
			f.step(MachineRestarted{Machine: "m1-later", Before: "m1"})
			f.step(MachineEnded{Machine: "m1"})
			if got := f.attributedEnds(harmful); got != 1 {
				t.Errorf("%d ends count, want 1", got)
			}
		})
	}
}

// Guards against an end that is never counted, since the start that ended wrote no entry: the next entry is of the start
// after it.
func TestEndOfStartWithoutEntryCounts(t *testing.T) {
	f := newFixture(t, testPolicy())
	f.status(true, loaded("m1", 4))
	harmful := poison.Fingerprint{1}
	f.step(MachineStartFound{Machine: "m1", Start: "m1-later"})
	f.advance(time.Second)
	f.expect(f.arrive("a", func(r *Request) { r.Content, r.Resumable, r.Attempts = harmful, true, 1 }), "dispatch a/1 to m1; ")
	f.step(AttemptEnded{Request: "a", Attempt: 1, Broken: true, Failure: brokeAndEnded})
	f.step(MachineRestarted{Machine: "m1-last", Before: "m1"})
	f.step(MachineEnded{Machine: "m1"})
	if got := f.attributedEnds(harmful); got != 1 {
		t.Errorf("%d ends count, want 1", got)
	}
}
