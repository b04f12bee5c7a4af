package passthrough

import (
	"time"

	"github.com/valveslip/valveslip/verdict"
)

// elsewhereBack is when a caller should come back that another node can serve at once; chosen,
// not measured.
const elsewhereBack = 50 * time.Millisecond

// overloaded says why a request must not be taken while the process works too late. Nothing
// bounded that: a node with more to do than it carries had its callers wait, and everything
// else with them, so that it served by a configuration that was out of force and sent to
// machines that had left. Of two nodes with a fifth of a core that got 1,400 requests a second
// each, those were 12 and 9 s old. To refuse one costs a tenth of what it takes to serve it.
func (h *Handler) overloaded(underWay int64) *verdict.Error {
	if h.MostUnderWay > 0 && underWay > int64(h.MostUnderWay) {
		return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
			"this node has %d requests under way and room for no more; another one takes the request", h.MostUnderWay).After(elsewhereBack)
	}
	if h.MayTake == nil {
		return nil
	}
	late, may := h.MayTake()
	if may {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeOverloaded,
		"this node has more to do than it carries and is %s late; another one takes the request", late.Round(time.Millisecond)).After(elsewhereBack)
}
