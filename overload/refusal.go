package overload

import (
	"time"

	"github.com/valveslip/valveslip/verdict"
)

// retryElsewhereAfter is the retry delay for a request that another node can serve at once.
const retryElsewhereAfter = 50 * time.Millisecond

// Refusal returns the error for a request that is refused because the process is late.
func Refusal(late time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
		"this node has more to do than it carries and is %s late; another one takes the request", late.Round(time.Millisecond)).After(retryElsewhereAfter)
}

// TooManyRequests returns the error for a request that is refused because the process runs as many
// requests as it has room for.
func TooManyRequests(running int) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
		"this node has %d requests under way and room for no more; another one takes the request", running).After(retryElsewhereAfter)
}
