package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/valveslip/valveslip/soak/check"
)

// maxBurstCalls is the limit of open calls of a burst: twice the calls that arrive in a second
// at the highest rate that is drawn.
const maxBurstCalls = 800

// burst sends additional calls to the node at a rate in calls per second for the given time.
func (p *process) burst(rate int, length time.Duration) {
	more := newCallers(p)
	more.prefix, more.callInterval, more.openCalls = fmt.Sprintf("%s%d-", check.BurstPrefix, p.bursts.Add(1)), time.Second/time.Duration(rate), make(chan struct{}, maxBurstCalls)
	p.pendingUndos.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, length)
		defer cancel()
		more.run(ctx)
	})
}
