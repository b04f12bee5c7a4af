package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

const completeStream = "data: {\"a\":1}\n\ndata: {\"a\":2}\n\ndata: [DONE]\n\n"

// fakeDecider dispatches a request up to limit times while its attempts fail, then
// finishes it with the last attempt's failure.
type fakeDecider struct {
	ticket   *Ticket
	request  routing.Request
	attempts cluster.Attempt
	limit    cluster.Attempt
	reports  []routing.Event
	// ignoresReports makes it decide nothing after the first dispatch.
	ignoresReports bool
}

func (d *fakeDecider) Submit(request routing.Request) *Ticket {
	d.ticket, d.request = NewTicket(nil), request
	d.dispatch()
	return d.ticket
}

func (d *fakeDecider) dispatch() {
	d.attempts++
	d.ticket.Deliver(routing.Dispatch{
		Request: d.request.ID, Attempt: d.attempts, Machine: "m1", Address: "e1", Deadline: d.request.Deadline,
	})
}

func (d *fakeDecider) Report(event routing.Event) {
	d.reports = append(d.reports, event)
	if d.ignoresReports {
		return
	}
	switch event := event.(type) {
	case routing.CallerGone:
		d.ticket.Deliver(routing.Finish{Request: d.request.ID, Failure: verdict.New(verdict.MayHaveRun, verdict.CodeCallerGone, "left")})
	case routing.AttemptEnded:
		if event.Failure != nil && d.attempts < d.limit {
			d.dispatch()
			return
		}
		d.ticket.Deliver(routing.Finish{Request: d.request.ID, Failure: event.Failure})
	}
}

// attemptReports returns the reports on ended attempts.
func (d *fakeDecider) attemptReports() (ended []routing.AttemptEnded) {
	for _, report := range d.reports {
		if report, ok := report.(routing.AttemptEnded); ok {
			ended = append(ended, report)
		}
	}
	return ended
}

// engineStep scripts an engine's reaction to one call.
type engineStep struct {
	body string
	// cut ends the body with a read error; err fails the call itself.
	cut bool
	err error
	// wrongRequest names another request in the answer's header.
	wrongRequest bool
	status       int
	// hangs blocks until the call's context ends.
	hangs bool
}

// scriptedEngines answers the calls to Run and Resume by its steps in order.
type scriptedEngines struct {
	steps             []engineStep
	resumeOffsets     []int64
	cancelledAttempts []cluster.Attempt
	cancels           chan struct{}
}

func (e *scriptedEngines) Run(ctx context.Context, call engine.Call) (*engine.Answer, error) {
	return e.nextAnswer(ctx, call)
}

func (e *scriptedEngines) Resume(ctx context.Context, call engine.Call, offset int64) (*engine.Answer, error) {
	e.resumeOffsets = append(e.resumeOffsets, offset)
	return e.nextAnswer(ctx, call)
}

func (e *scriptedEngines) Cancel(_ context.Context, call engine.Call) error {
	e.cancelledAttempts = append(e.cancelledAttempts, call.Attempt)
	close(e.cancels)
	return nil
}

func (e *scriptedEngines) nextAnswer(ctx context.Context, call engine.Call) (*engine.Answer, error) {
	if len(e.steps) == 0 {
		return nil, verdict.New(verdict.MayHaveRun, verdict.CodeStreamCut, "unknown attempt")
	}
	next := e.steps[0]
	e.steps = e.steps[1:]
	if next.hangs {
		<-ctx.Done()
		return nil, verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeEngineFailed, "no answer")
	}
	if next.err != nil {
		return nil, next.err
	}
	header := http.Header{}
	header.Set(engine.HeaderRequestID, string(call.Request))
	header.Set(engine.HeaderAttempt, strconv.Itoa(int(call.Attempt)))
	if next.wrongRequest {
		header.Set(engine.HeaderRequestID, "another")
	}
	var body io.Reader = strings.NewReader(next.body)
	if next.cut {
		body = io.MultiReader(body, cutReader{})
	}
	if next.status == 0 {
		next.status = http.StatusOK
	}
	return &engine.Answer{Status: next.status, Header: header, Body: io.NopCloser(body)}, nil
}

// cutReader fails like a broken connection.
type cutReader struct{}

func (cutReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// recordingSink records the answer as a caller receives it.
type recordingSink struct {
	status int
	body   strings.Builder
	// failWrites makes every Write fail.
	failWrites bool
}

func (r *recordingSink) Start(status int, _ http.Header) error {
	r.status = status
	return nil
}

func (r *recordingSink) Write(data []byte) error {
	if r.failWrites {
		return errors.New("connection reset")
	}
	r.body.Write(data)
	return nil
}

// TestAnswerIsRelayedCompleteOrReportedAsFailure guards against answers that reach the
// caller incomplete, twice or from another request when connections to the engine break,
// and against failures with a verdict that does not match what the engine ran.
func TestAnswerIsRelayedCompleteOrReportedAsFailure(t *testing.T) {
	notRun := verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "full")
	notRun.Cause = engine.ErrEngineFull
	lost := verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "lost")
	unknownAttempt := verdict.Wrap(engine.ErrAttemptUnknown, verdict.MayHaveRun, verdict.CodeStreamCut, "404")
	const object = `{"usage":{"completion_tokens":7}}`
	tests := []struct {
		name    string
		stream  bool
		steps   []engineStep
		body    string
		code    verdict.Code
		verdict verdict.Verdict
		offsets []int64
		started bool
	}{
		{name: "complete stream", stream: true, steps: []engineStep{{body: completeStream}}, body: completeStream, started: true},
		{name: "stream cut off is resumed at its offset", stream: true, steps: []engineStep{{body: completeStream[:9], cut: true}, {body: completeStream[9:20], cut: true}, {body: completeStream[20:]}}, body: completeStream, offsets: []int64{9, 20}, started: true},
		{name: "stream without its last event counts as cut off", stream: true, steps: []engineStep{{body: completeStream[:16]}, {body: completeStream[16:]}}, body: completeStream, offsets: []int64{16}, started: true},
		{name: "stream cut off that cannot be resumed", stream: true, steps: []engineStep{{body: completeStream[:9], cut: true}}, body: completeStream[:9], code: verdict.CodeStreamCut, verdict: verdict.Ran, offsets: []int64{9, 9, 9}, started: true},
		{name: "lost answer is resumed from its start", steps: []engineStep{{err: lost}, {body: object}}, body: object, offsets: []int64{0}, started: true},
		{name: "answer of another request is dropped and the right one fetched", steps: []engineStep{{body: `{"secret":1}`, wrongRequest: true}, {body: object}}, body: object, offsets: []int64{0}, started: true},
		{name: "answer of another request and no right one", steps: []engineStep{{body: `{"secret":1}`, wrongRequest: true}}, code: verdict.CodeEngineFailed, verdict: verdict.MayHaveRun, offsets: []int64{0, 0, 0}},
		{name: "resumed answer of another request adds nothing", stream: true, steps: []engineStep{{body: completeStream[:9], cut: true}, {body: "data: other\n\n", wrongRequest: true}, {body: completeStream[9:]}}, body: completeStream, offsets: []int64{9, 9}, started: true},
		{name: "engine that does not know the attempt is asked once", stream: true, steps: []engineStep{{body: completeStream[:9], cut: true}, {err: unknownAttempt}}, body: completeStream[:9], code: verdict.CodeStreamCut, verdict: verdict.Ran, offsets: []int64{9}, started: true},
		{name: "refused request did not run and is not resumed", steps: []engineStep{{err: notRun}}, code: verdict.CodeEngineRefused, verdict: verdict.NotRun},
		{name: "buffered answer cut off is not sent in part", steps: []engineStep{{body: object[:9], cut: true}}, code: verdict.CodeEngineFailed, verdict: verdict.Ran, offsets: []int64{9, 9, 9}},
		{name: "buffered answer that is not JSON", steps: []engineStep{{body: object[:9]}}, code: verdict.CodeEngineFailed, verdict: verdict.Ran},
		{name: "answer larger than the limit", steps: []engineStep{{body: `"` + strings.Repeat("x", 100) + `"`}}, code: verdict.CodeEngineFailed, verdict: verdict.Ran},
		{name: "engine's error status is relayed", steps: []engineStep{{body: `{"error":{}}`, status: 400}}, body: `{"error":{}}`, started: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engines := &scriptedEngines{steps: test.steps, cancels: make(chan struct{})}
				caller, core := &recordingSink{}, &fakeDecider{limit: 1}
				runner := NewRunner(core, engines, Options{MaxAnswerBytes: 64, MaxResumeAttempts: 3})
				result := runner.Run(t.Context(), newCall(test.stream), caller)
				synctest.Wait()
				if caller.body.String() != test.body || result.Started != test.started {
					t.Errorf("caller got %q, started %v", caller.body.String(), result.Started)
				}
				checkFailure(t, result.Failure, test.code, test.verdict)
				if !slices.Equal(engines.resumeOffsets, test.offsets) {
					t.Errorf("resumed at %v, want %v", engines.resumeOffsets, test.offsets)
				}
			})
		})
	}
}

// TestFailedResumptionsAreLogged guards against resume failures whose cause cannot be found
// later: only the log has it, since a request that fails ends with the cause of the cut.
func TestFailedResumptionsAreLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var logged strings.Builder
		unreachable := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the engine is away")
		engines := &scriptedEngines{steps: []engineStep{{body: completeStream[:9], cut: true}, {err: unreachable}, {err: unreachable}, {body: completeStream[9:]}}, cancels: make(chan struct{})}
		caller, core := &recordingSink{}, &fakeDecider{limit: 1}
		runner := NewRunner(core, engines, Options{MaxResumeAttempts: 3, Logger: slog.New(slog.NewTextHandler(&logged, nil))})
		result := runner.Run(t.Context(), newCall(true), caller)
		if result.Failure != nil || caller.body.String() != completeStream {
			t.Errorf("caller got %q, failure %v", caller.body.String(), result.Failure)
		}
		if lines := strings.Count(logged.String(), `msg="resuming the answer at its engine failed" request=r1 attempt=1 engine=e1 error="the engine is away`); lines != 2 {
			t.Errorf("%d log lines for two failed resumptions:\n%s", lines, logged.String())
		}
	})
}

// newCall returns a request whose deadline is a minute away.
func newCall(stream bool) Call {
	return Call{Request: routing.Request{ID: "r1", Deadline: time.Now().Add(time.Minute)}, Path: "/v1/chat/completions", Stream: stream}
}

// checkFailure checks a failure's code and verdict; an empty code means no failure.
func checkFailure(t *testing.T, failure *verdict.Error, wantCode verdict.Code, wantVerdict verdict.Verdict) {
	t.Helper()
	switch {
	case failure == nil && wantCode != "":
		t.Errorf("no failure, want %s", wantCode)
	case failure != nil && (failure.Code != wantCode || failure.Verdict != wantVerdict):
		t.Errorf("failure %v, want %s %s", failure, wantCode, wantVerdict)
	}
}

// TestResultCountsGeneratedTokens guards against a wrong token count: a stream has one token
// per event except the last, a buffered answer states its count.
func TestResultCountsGeneratedTokens(t *testing.T) {
	for _, stream := range []bool{true, false} {
		body, want := completeStream, 2
		if !stream {
			body, want = `{"usage":{"completion_tokens":7}}`, 7
		}
		core := &fakeDecider{limit: 1}
		runner := NewRunner(core, &scriptedEngines{steps: []engineStep{{body: body}}}, Options{})
		if result := runner.Run(t.Context(), newCall(stream), &recordingSink{}); result.Tokens != want {
			t.Errorf("stream %v: %d tokens, want %d", stream, result.Tokens, want)
		}
	}
}

// TestFirstByteIsReportedBeforeItIsSent guards against a core that dispatches a request again
// although its caller has received a part of the answer.
func TestFirstByteIsReportedBeforeItIsSent(t *testing.T) {
	core := &fakeDecider{limit: 1}
	caller := &recordingSink{}
	NewRunner(core, &scriptedEngines{steps: []engineStep{{body: completeStream}}}, Options{}).Run(t.Context(), newCall(true), caller)
	if _, first := core.reports[0].(routing.FirstByteSent); !first || len(core.attemptReports()) != 1 {
		t.Fatalf("reports %+v", core.reports)
	}
}

// TestCallerGoneMidStreamCancelsAtEngine guards against an engine that goes on generating, and
// an answer that is resumed, for a caller that has disconnected.
func TestCallerGoneMidStreamCancelsAtEngine(t *testing.T) {
	core := &fakeDecider{limit: 1}
	engines := &scriptedEngines{steps: []engineStep{{body: completeStream}}, cancels: make(chan struct{})}
	result := NewRunner(core, engines, Options{}).Run(t.Context(), newCall(true), &recordingSink{failWrites: true})
	<-engines.cancels
	checkFailure(t, result.Failure, verdict.CodeCallerGone, verdict.Ran)
	if len(engines.cancelledAttempts) != 1 || len(engines.resumeOffsets) != 0 {
		t.Fatalf("cancelled %v, resumed at %v", engines.cancelledAttempts, engines.resumeOffsets)
	}
}

// TestCallerGoneBeforeAnswerCancelsAtEngine guards against an engine that goes on running a
// request whose caller disconnected before the answer began.
func TestCallerGoneBeforeAnswerCancelsAtEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithCancel(t.Context())
		core := &fakeDecider{limit: 1}
		engines := &scriptedEngines{steps: []engineStep{{hangs: true}}, cancels: make(chan struct{})}
		done := make(chan Result)
		go func() { done <- NewRunner(core, engines, Options{}).Run(ctx, newCall(false), &recordingSink{}) }()
		synctest.Wait()
		leave()
		result := <-done
		<-engines.cancels
		checkFailure(t, result.Failure, verdict.CodeCallerGone, verdict.MayHaveRun)
	})
}

// TestDeadlineEndsHangingAttempt guards against an attempt that outlives its deadline because
// the engine does not answer.
func TestDeadlineEndsHangingAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		engines := &scriptedEngines{steps: []engineStep{{hangs: true}}, cancels: make(chan struct{})}
		result := NewRunner(&fakeDecider{limit: 1}, engines, Options{}).Run(t.Context(), newCall(false), &recordingSink{})
		<-engines.cancels
		checkFailure(t, result.Failure, verdict.CodeDeadlineExceeded, verdict.MayHaveRun)
		if waited := time.Since(began); waited != time.Minute {
			t.Errorf("ended after %s", waited)
		}
	})
}

// TestWaitForDecisionIsBoundedByFinishGrace guards against a request that never ends because
// the core does not decide on it.
func TestWaitForDecisionIsBoundedByFinishGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		core := &fakeDecider{limit: 1, ignoresReports: true}
		result := NewRunner(core, &scriptedEngines{steps: []engineStep{{body: completeStream}}}, Options{}).Run(t.Context(), newCall(false), &recordingSink{})
		checkFailure(t, result.Failure, verdict.CodeInternal, verdict.MayHaveRun)
		if waited := time.Since(began); waited != time.Minute+2*DefaultFinishGrace {
			t.Errorf("ended after %s", waited)
		}
	})
}

// TestFinishInterruptsRunningAttempt guards against a Finish that is not carried out until the
// engine answers.
func TestFinishInterruptsRunningAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core := &fakeDecider{limit: 1, ignoresReports: true}
		engines := &scriptedEngines{steps: []engineStep{{hangs: true}}, cancels: make(chan struct{})}
		done := make(chan Result)
		go func() { done <- NewRunner(core, engines, Options{}).Run(t.Context(), newCall(false), &recordingSink{}) }()
		synctest.Wait()
		core.ticket.Deliver(routing.Finish{Request: "r1", Failure: verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "late")})
		result := <-done
		<-engines.cancels
		checkFailure(t, result.Failure, verdict.CodeDeadlineExceeded, verdict.MayHaveRun)
	})
}
