package overload

import (
	"time"

	"github.com/valveslip/valveslip/verdict"
)

// elsewhereBack is when a caller should come back that another node can serve at once;
// chosen, not measured.
const elsewhereBack = 50 * time.Millisecond

// Refusal is what callers are told whose request a process does not take since it is late.
func Refusal(late time.Duration) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
		"this node has more to do than it carries and is %s late; another one takes the request", late.Round(time.Millisecond)).After(elsewhereBack)
}

// Full is what they are told whose request finds as many under way as a process has room for.
func Full(underWay int) *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
		"this node has %d requests under way and room for no more; another one takes the request", underWay).After(elsewhereBack)
}
