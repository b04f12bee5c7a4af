package check

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// refusedTries returns the tries to resume the numbered stream of addResumedStreams that were refused, the first of
// them at a time.
func refusedTries(stream, count int, first time.Duration) []Request {
	var tries []Request
	id := fmt.Sprintf("resumable-%d", stream)
	for n := range count {
		sent := first + time.Duration(n)*50*time.Millisecond
		tries = append(tries, Request{
			ID: id + strings.Repeat("+", n+2), Node: 1, Route: RouteStream, Deadline: 2 * time.Second, After: testEvents - 1, Resumes: id, FailedTries: n,
			Status: http.StatusServiceUnavailable, Sent: sent, Ended: sent + time.Millisecond,
		})
	}
	return tries
}

// TestStreamThatCannotGoOnCountsOnce guards against a breach that one stream makes: nothing can take it up, and its
// caller tries so often that its tries outnumber all other streams.
func TestStreamThatCannotGoOnCountsOnce(t *testing.T) {
	h := validHistory()
	h.Requests = append(h.Requests, refusedTries(0, 2*minResumed, 15200*time.Millisecond)...)
	if finding := findingFor(Judge(h), PromiseResumed); len(finding.Breaches) > 0 || finding.Judged != minResumed+1 {
		t.Errorf("%d judged, want %d: %v", finding.Judged, minResumed+1, finding.Breaches)
	}
}

// TestOnlyTriesWithinDeadlineOfStreamCount guards against nodes that are blamed for streams which callers try to take
// up once the time for them is over, and against a check that excuses tries before that.
func TestOnlyTriesWithinDeadlineOfStreamCount(t *testing.T) {
	for _, c := range []struct {
		sent     time.Duration
		breaches int
	}{{15800 * time.Millisecond, 1}, {16100 * time.Millisecond, 0}} {
		h := validHistory()
		for stream := range minResumed {
			h.Requests = append(h.Requests, refusedTries(stream, 2, c.sent)...)
		}
		// Each stream broke off twice, and half of them went on after the first time.
		requests := h.requestsByID()
		for stream := 0; stream < minResumed; stream += 2 {
			first := requests[fmt.Sprintf("resumable-%d+", stream)]
			first.Status, first.Body = http.StatusServiceUnavailable, ""
		}
		if finding := findingFor(Judge(h), PromiseResumed); len(finding.Breaches) != c.breaches {
			t.Errorf("tries %s after the first request: %v, want %d breaches", c.sent-14*time.Second, finding.Breaches, c.breaches)
		}
	}
}

// TestSecondTryDoesNotHideRefusal guards against nodes that refuse each stream at first, which a check would miss that
// waits for the try that succeeds.
func TestSecondTryDoesNotHideRefusal(t *testing.T) {
	h := validHistory()
	for stream := range minResumed {
		h.Requests = append(h.Requests, refusedTries(stream, 1, 14500*time.Millisecond)...)
	}
	for i := range h.Requests {
		if request := &h.Requests[i]; strings.HasPrefix(request.ID, "resumable-") && request.ID == request.Resumes+"+" {
			request.FailedTries = 1
		}
	}
	if finding := findingFor(Judge(h), PromiseResumed); len(finding.Breaches) != 1 {
		t.Errorf("%d judged: %v, want one breach", finding.Judged, finding.Breaches)
	}
}
