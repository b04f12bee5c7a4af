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

// filesPerBurstCall is the number of files of an open call of a burst: filesPerCall, and a reserve of a third.
const filesPerBurstCall = 4

// maxOpenBurstCalls returns the limit of open calls of all bursts together in a deployment of the given number
// of nodes: as many as the limit of open files of the soak's process leaves room for beside everything else,
// but at least those of one burst, for which the reserves of filesNeeded have room. Without it, bursts at many
// nodes that are paused meet that limit, which ends the run.
func maxOpenBurstCalls(nodes int, files uint64) int {
	needed := min(filesNeeded(nodes), files)
	return max(int(min(files-needed, maxRunFiles)/filesPerBurstCall), maxBurstCalls)
}

// maxRunFiles bounds the files that are planned for where the limit is higher or there is none.
const maxRunFiles = 1 << 20

// burst sends additional calls to the node at a rate in calls per second for the given time.
func (p *process) burst(rate int, length time.Duration) {
	more := newCallers(p)
	more.prefix, more.callInterval, more.openCalls = fmt.Sprintf("%s%d-", check.BurstPrefix, p.bursts.Add(1)), time.Second/time.Duration(rate), make(chan struct{}, maxBurstCalls)
	more.shared = p.burstCalls
	p.pendingUndos.Go(func() {
		ctx, cancel := context.WithTimeout(p.ctx, length)
		defer cancel()
		more.run(ctx)
	})
}
