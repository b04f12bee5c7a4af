package worker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
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
func surplusRejection(id string) string {
	named := ""
	if id != "" {
		named = platform.HeaderRequestID + ": " + id + "\r\n"
	}
	return "HTTP/1.1 503 Service Unavailable\r\n" + named + platform.HeaderNotExecuted + ": 1\r\nContent-Length: 0\r\n\r\n"
}

// surplusAnswer returns the answer of a worker to a request that isn't streamed.
func surplusAnswer(id, worker string) string {
	text := AnswerText(id, worker)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		platform.HeaderRequestID, id, platform.HeaderStamp, Stamp(worker), len(text), text)
}

// writeWithoutEnd takes the connection over and writes without end: a field, fields, interim answers, answers of others, a
// body in chunks or one without length, by the number of the run.
func writeWithoutEnd(out http.ResponseWriter, id string, run int) {
	conn, _, err := http.NewResponseController(out).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	own := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\n", platform.HeaderRequestID, id, platform.HeaderStamp)
	filler := strings.Repeat("x", 4096)
	parts := [][2]string{
		{own + "Long: ", filler},
		{own, strings.Repeat("Field: value\r\n", 256)},
		{"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 128)},
		{"", surplusAnswer(misroutedAnswerID, "other")},
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
