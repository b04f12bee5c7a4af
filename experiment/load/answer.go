package load

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/valveslip/valveslip/engine"
	standin "github.com/valveslip/valveslip/standin/engine"
	"github.com/valveslip/valveslip/verdict"
)

// maxAnswerBytes limits the size of a response body, maxLineBytes that of one line of a stream.
const (
	maxAnswerBytes = 64 << 20
	maxLineBytes   = 1 << 20
)

// outcome classifies how a request ended.
type outcome uint8

const (
	// outcomeServed: the answer arrived completely and is the expected one.
	outcomeServed outcome = iota
	// outcomeRefused: an error object with the verdict not-run.
	outcomeRefused
	// outcomeFailed: an error object with any other verdict, also inside a stream.
	outcomeFailed
	// outcomeCancelled: the client disconnected on purpose.
	outcomeCancelled
	// outcomeBroken: the connection failed before the answer was complete.
	outcomeBroken
	// outcomeUnreachable: no connection could be established.
	outcomeUnreachable
	// outcomeLost: the request did not end within Config.LostAfter.
	outcomeLost
	// outcomeWrong: the answer ended normally but is not the expected one.
	outcomeWrong
)

// result describes how one request ended.
type result struct {
	outcome   outcome
	errorCode string
	// firstToken and total are measured from the scheduled start of the request.
	firstToken, total time.Duration
	// tokenGaps are the times between consecutive tokens of a stream.
	tokenGaps []time.Duration
	tokens    int
	detail    string
	// retried is true when an earlier target refused the request or was unreachable.
	retried bool
}

// canRetryElsewhere reports whether the request certainly did not run and can be sent to another
// node: the target was unreachable, is draining, is still starting or is overloaded.
func (r *result) canRetryElsewhere() bool {
	elsewhere := r.errorCode == string(verdict.CodeNodeDraining) || r.errorCode == string(verdict.CodeUnavailable) || r.errorCode == string(verdict.CodeOverloaded)
	return r.outcome == outcomeUnreachable || r.outcome == outcomeRefused && elsewhere
}

// resetForRetry clears the outcome of the previous attempt.
func (r *result) resetForRetry() { *r = result{retried: true} }

// errorObject is the error object of the OpenAI API, extended by the verdict.
type errorObject struct {
	Code    string `json:"code"`
	Type    string `json:"type"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

// answerBody holds the checked part of an answer or of one stream event.
type answerBody struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Error *errorObject
}

// readError records the outcome and the error code of a response whose status is not 200.
func readError(answer *http.Response, result *result) {
	var body answerBody
	_ = json.NewDecoder(io.LimitReader(answer.Body, maxLineBytes)).Decode(&body)
	statedVerdict := answer.Header.Get(engine.HeaderVerdict)
	if body.Error != nil {
		result.errorCode = cmp.Or(body.Error.Code, body.Error.Type)
		if statedVerdict == "" {
			statedVerdict = body.Error.Verdict
		}
	}
	result.errorCode = cmp.Or(result.errorCode, answer.Status)
	result.outcome = outcomeFailed
	if verdict.Parse(statedVerdict) == verdict.NotRun {
		result.outcome = outcomeRefused
	}
}

// answerReader checks the answer of one request while it arrives.
type answerReader struct {
	request     *request
	result      *result
	seed        uint64
	lastArrival time.Time
	// onFirstToken is called when the first token arrives. disconnect then ends the request if its
	// client is to leave early.
	onFirstToken, disconnect func()
	expected                 []byte
}

// recordArrival records the arrival time of text: the time to the first token, or the gap since the
// previous one.
func (r *answerReader) recordArrival(now time.Time) {
	if r.lastArrival.IsZero() {
		r.result.firstToken = now.Sub(r.request.scheduledAt)
		r.onFirstToken()
		if r.request.cancelEarly {
			r.disconnect()
		}
	} else {
		r.result.tokenGaps = append(r.result.tokenGaps, now.Sub(r.lastArrival))
	}
	r.lastArrival = now
}

// matchNextTokens compares text with the tokens expected next.
func (r *answerReader) matchNextTokens(text string) bool {
	for len(text) > 0 && r.result.tokens < r.request.tokens {
		r.expected = standin.AppendToken(r.expected[:0], r.seed, r.result.tokens)
		if len(text) < len(r.expected) || text[:len(r.expected)] != string(r.expected) {
			return false
		}
		text = text[len(r.expected):]
		r.result.tokens++
	}
	return len(text) == 0
}

// readWhole reads and checks an answer that is not streamed.
func (r *answerReader) readWhole(body io.Reader) {
	data, err := io.ReadAll(io.LimitReader(body, maxAnswerBytes))
	if err != nil {
		r.result.outcome, r.result.detail = outcomeBroken, err.Error()
		return
	}
	r.recordArrival(time.Now())
	var answer answerBody
	if err := json.Unmarshal(data, &answer); err != nil || len(answer.Choices) != 1 {
		r.markWrong("not a completion")
		return
	}
	if !r.matchNextTokens(answer.Choices[0].Message.Content) || r.result.tokens != r.request.tokens {
		r.markWrong("other text")
	}
}

func (r *answerReader) markWrong(detail string) {
	r.result.outcome, r.result.detail = outcomeWrong, detail
}

var (
	dataPrefix          = []byte("data: ")
	streamEndData       = []byte("[DONE]")
	errMissingStreamEnd = errors.New("the stream ended without its last event")
)

// readStream reads and checks an answer that arrives as server-sent events of one line each.
func (r *answerReader) readStream(body io.Reader) {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	for lines.Scan() {
		data, found := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !found {
			continue
		}
		if bytes.Equal(data, streamEndData) {
			if r.result.tokens != r.request.tokens {
				r.markWrong("too few tokens")
			}
			return
		}
		if !r.checkEvent(data) {
			return
		}
	}
	err := lines.Err()
	if err == nil {
		err = errMissingStreamEnd
	}
	r.result.outcome, r.result.detail = outcomeBroken, err.Error()
}

// checkEvent checks one event. It returns false when the rest of the stream must not be read.
func (r *answerReader) checkEvent(data []byte) bool {
	var event answerBody
	if err := json.Unmarshal(data, &event); err != nil {
		r.markWrong("an event is not JSON")
		return false
	}
	if event.Error != nil {
		r.result.outcome, r.result.errorCode = outcomeFailed, event.Error.Code
		return false
	}
	for _, choice := range event.Choices {
		if choice.Delta.Content == "" {
			continue
		}
		r.recordArrival(time.Now())
		if !r.matchNextTokens(choice.Delta.Content) {
			r.markWrong("other text")
			return false
		}
	}
	return true
}
