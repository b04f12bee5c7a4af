package passthrough

import (
	"github.com/valveslip/valveslip/overload"
	"github.com/valveslip/valveslip/verdict"
)

// checkOverload returns the refusal of a request while the process runs too late, or while too
// many requests are active, and nil otherwise. Without this bound an overloaded node delays all
// its work, not only the answers: it serves with an outdated configuration and sends requests to
// machines that have left. On two nodes with a fifth of a core and 1,400 requests a second each,
// the configuration was 12 s and 9 s old. A refusal costs a tenth of the work of an answer.
func (h *Handler) checkOverload(active int64) *verdict.Error {
	if h.MaxActiveRequests > 0 && active > int64(h.MaxActiveRequests) {
		return overload.TooManyRequests(h.MaxActiveRequests)
	}
	if h.MayAccept == nil {
		return nil
	}
	if late, may := h.MayAccept(); !may {
		return overload.Refusal(late)
	}
	return nil
}
