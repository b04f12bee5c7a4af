package passthrough

import (
	"github.com/valveslip/valveslip/overload"
	"github.com/valveslip/valveslip/verdict"
)

// overloaded says why a request must not be taken while the process works too late, or has as
// many under way as it has room for. Nothing bounded that: a node with more to do than it
// carries had its callers wait, and everything else with them, so that it served by a
// configuration that was out of force and sent to machines that had left. Of two nodes with a
// fifth of a core that got 1,400 requests a second each, those were 12 and 9 s old. To refuse
// one costs a tenth of what it takes to serve it.
func (h *Handler) overloaded(underWay int64) *verdict.Error {
	if h.MostUnderWay > 0 && underWay > int64(h.MostUnderWay) {
		return overload.Full(h.MostUnderWay)
	}
	if h.MayTake == nil {
		return nil
	}
	if late, may := h.MayTake(); !may {
		return overload.Refusal(late)
	}
	return nil
}
