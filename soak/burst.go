package soak

import (
	"context"
	"fmt"
	"time"

	"github.com/valveslip/valveslip/soak/check"
)

// burstCalls bounds the calls of a burst that are under way: those of a second at the largest
// rate that is drawn, twice over.
const burstCalls = 800

// burst has many more callers come to the node for a while, at a rate a second.
func (p *process) burst(rate int, length time.Duration) {
	more := newCallers(p)
	more.prefix, more.pace, more.gate = fmt.Sprintf("%s%d-", check.BurstPrefix, p.bursts.Add(1)), time.Second/time.Duration(rate), make(chan struct{}, burstCalls)
	p.undone.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, length)
		defer cancel()
		more.run(ctx)
	})
}
