package soak

import (
	"bytes"
	"cmp"
	"errors"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/soak/check"
)

// Shares of callers, one in so many, where workers of several software versions serve or come: those that leave in
// the middle of a stream, and those that resume it at the node that they had.
const (
	leavingShare  = 6
	sameNodeShare = 4
	// eventsBeforeLeaving is the number of events after which callers leave.
	eventsBeforeLeaving = 4
)

// errLeft is why a caller that left has no whole answer.
var errLeft = errors.New("the caller left")

// severalReleases reports whether workers of several software versions serve, or come beside kills of all nodes.
func (c *callGenerator) severalReleases() bool {
	return c.options.Schedule.Releases > 1 || c.options.Schedule.TakeUps > 0
}

// decideLeaving makes some callers of resumable streams leave in the middle, to resume the stream at another
// node. It depends on the request's identifier alone.
func (c *callGenerator) decideLeaving(request *check.Request) {
	if c.severalReleases() && request.Route == check.RouteStream && xxhash.Sum64String(request.ID)%leavingShare == 0 {
		request.LeavesAfter = eventsBeforeLeaving
	}
}

// resumption returns the request that resumes a stream which was cut or left, and false if nothing resumes it.
// Where workers of several software versions serve or come, most callers resume a stream at another node.
func (c *callGenerator) resumption(cut *check.Request) (check.Request, bool) {
	got := cut.After + bytes.Count([]byte(cut.Body), eventEnd)
	if cut.Route != check.RouteStream || cut.Answered() && cut.Status == http.StatusOK || got == 0 {
		return check.Request{}, false
	}
	failedTries := 0
	if got == cut.After {
		failedTries = cut.FailedTries + 1
	}
	if failedTries > 0 && failedTries >= c.options.Schedule.TakeUps {
		return check.Request{}, false
	}
	next := check.Request{
		ID: cut.ID + "+", Node: cut.Node, Route: cut.Route, Model: cut.Model, Deadline: cut.Deadline, After: got,
		Resumes: cmp.Or(cut.Resumes, cut.ID), FailedTries: failedTries,
	}
	if draw := xxhash.Sum64String(next.ID); c.severalReleases() && draw%sameNodeShare != 0 {
		next.Node = int(draw/sameNodeShare) % len(c.nodes)
	}
	return next, true
}

// eventEnd ends each event of a stream.
var eventEnd = []byte("\n\n")

// errAnswerTooLong is the error of an answer of which the caller reads no more.
var errAnswerTooLong = eris.Errorf("the answer is longer than %d bytes", maxAnswerBytes)

// readAnswer reads a body to its end or, if leavesAfter is not zero, up to that many events.
func readAnswer(body io.Reader, leavesAfter int) ([]byte, error) {
	limited := io.LimitReader(body, maxAnswerBytes+1)
	if leavesAfter == 0 {
		read, err := io.ReadAll(limited)
		if err == nil && len(read) > maxAnswerBytes {
			err = errAnswerTooLong
		}
		return read, err
	}
	var read []byte
	chunk := make([]byte, 4096)
	for {
		n, err := limited.Read(chunk)
		read = append(read, chunk[:n]...)
		switch {
		case err == io.EOF:
			return read, nil
		case err != nil:
			return read, err
		case bytes.Count(read, eventEnd) >= leavesAfter:
			return read, errLeft
		}
	}
}
