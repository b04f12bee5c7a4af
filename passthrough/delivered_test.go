package passthrough

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// TestDeliveredAnswerIsNotAborted: an answer whose last byte was sent just as its deadline passed
// must not be aborted. In a process soak, the continuation of a stream with no events left got the
// complete answer of its engine at the deadline, and the caller saw a closed connection without a
// response head.
func TestDeliveredAnswerIsNotAborted(t *testing.T) {
	late := verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "the deadline passed")
	for _, delivered := range []bool{true, false} {
		recorder := httptest.NewRecorder()
		current := &exchange{
			Handler: NewHandler(Config{}), writer: recorder, request: httptest.NewRequest(http.MethodPost, "/", nil),
			headSent: true, delivered: delivered,
		}
		broken := func() (broken bool) {
			defer func() { broken = recover() != nil }()
			current.end(late, routing.Explanation{})
			return false
		}()
		if broken == delivered {
			t.Errorf("delivered %t: aborted %t", delivered, broken)
		}
	}
}
