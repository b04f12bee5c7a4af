package passthrough

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
)

// TestDeliveredAnswerStands: an answer whose last byte went to the caller just when its
// deadline passed is not broken off. Seen in a process soak: the continuation of a stream that
// had no events left got its engine's whole answer at the deadline, and its caller a closed
// connection without a head.
func TestDeliveredAnswerStands(t *testing.T) {
	late := verdict.New(verdict.MayHaveRun, verdict.CodeDeadlineExceeded, "the deadline passed")
	for _, delivered := range []bool{true, false} {
		recorder := httptest.NewRecorder()
		current := &exchange{
			Handler: NewHandler(Config{}), writer: recorder, request: httptest.NewRequest(http.MethodPost, "/", nil),
			started: true, delivered: delivered,
		}
		broken := func() (broken bool) {
			defer func() { broken = recover() != nil }()
			current.end(late, routing.Explanation{})
			return false
		}()
		if broken == delivered {
			t.Errorf("delivered %t: broken off %t", delivered, broken)
		}
	}
}
