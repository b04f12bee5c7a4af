package worker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin"
)

// maxSurplusDelay bounds the time from the arrival of a request until its surplus answer is written.
const maxSurplusDelay = 60 * time.Millisecond

// maxEndlessBytes ends an answer without end whose caller does not close, so that a run ends.
const maxEndlessBytes = 1 << 30

// sendSurplus writes an answer that nobody expects on the connection of a request, a random time later.
func sendSurplus(r *http.Request, answer string) {
	delay := time.Duration(rand.Int64N(int64(maxSurplusDelay)))
	time.AfterFunc(delay, func() { standin.WriteSurplus(r, []byte(answer)) })
}

// surplusRejection returns a rejection of a request, of none if the ID is empty.
func (w *Worker) surplusRejection(id string) string {
	header := http.Header{platform.HeaderNotExecuted: {"1"}}
	return w.rawAnswer(http.StatusServiceUnavailable, id, header, "")
}

// surplusAnswer returns the answer of the worker to a request that isn't streamed.
func (w *Worker) surplusAnswer(id string) string {
	return w.rawAnswer(http.StatusOK, id, http.Header{platform.HeaderStamp: {Stamp(w.config.ID)}}, AnswerText(id, w.config.ID))
}

// rawAnswer returns the bytes of an answer, with the headers that every response of the worker has.
func (w *Worker) rawAnswer(status int, id string, header http.Header, body string) string {
	w.setStatusHeaders(header)
	if id != "" {
		header.Set(platform.HeaderRequestID, id)
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	_ = header.Write(&text)
	return text.String() + "\r\n" + body
}

// writeWithoutEnd takes the connection over and writes without end: a field, fields, interim answers, answers of others, a
// body in chunks or one without length, by the number of the run.
func (w *Worker) writeWithoutEnd(out http.ResponseWriter, id string, run int) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	header := http.Header{platform.HeaderRequestID: {id}, platform.HeaderStamp: {"s"}}
	w.setStatusHeaders(header)
	var fields strings.Builder
	_ = header.Write(&fields)
	own := "HTTP/1.1 200 OK\r\n" + fields.String()
	filler := strings.Repeat("x", 4096)
	parts := [][2]string{
		{own + "Long: ", filler},
		{own, strings.Repeat("Field: value\r\n", 256)},
		{"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 128)},
		{"", w.surplusAnswer(misroutedAnswerID)},
		{own + "Transfer-Encoding: chunked\r\n\r\n", "1000\r\n" + filler + "\r\n"},
		{own + "\r\n", filler},
	}
	part := parts[run%len(parts)]
	_, err = conn.Write([]byte(part[0]))
	for written := 0; err == nil && written < maxEndlessBytes; {
		var n int
		n, err = conn.Write([]byte(part[1]))
		written += n
	}
}
