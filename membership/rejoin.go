package membership

import (
	"slices"
	"time"
)

// maxLostAddresses is the maximum number of addresses of dead members that are
// still tried: beyond it the oldest is dropped.
const maxLostAddresses = 32

// rejoin holds the addresses at which other members may be found: the seeds, and
// the addresses of dead members, because after a partition no other node may know
// them.
type rejoin struct {
	seeds []string
	lost  []lostAddress
	next  int
}

type lostAddress struct {
	address string
	since   time.Time
}

// add records the address of a dead member. If there are too many, the oldest is
// dropped.
func (r *rejoin) add(address string, now time.Time) {
	r.remove(address)
	r.lost = append(r.lost, lostAddress{address: address, since: now})
	if len(r.lost) > maxLostAddresses {
		r.lost = slices.Delete(r.lost, 0, 1)
	}
}

func (r *rejoin) remove(address string) {
	r.lost = slices.DeleteFunc(r.lost, func(l lostAddress) bool { return l.address == address })
}

// candidates returns the seeds and lost addresses at which no member runs.
func (r *rejoin) candidates(occupied func(address string) bool) []string {
	r.lost = slices.DeleteFunc(r.lost, func(l lostAddress) bool { return occupied(l.address) })
	var addresses []string
	for _, seed := range r.seeds {
		if !occupied(seed) {
			addresses = append(addresses, seed)
		}
	}
	for _, lost := range r.lost {
		if !slices.Contains(addresses, lost.address) {
			addresses = append(addresses, lost.address)
		}
	}
	return addresses
}

// sendDueRejoin sends a heartbeat to the next candidate address, starting with a
// random one. It does so more often during startupPeriod and while no member is
// known, because the first node it reaches may have just started too and know no
// other.
func (c *Core) sendDueRejoin(now time.Time) {
	if now.Before(c.nextRejoin) {
		return
	}
	c.nextRejoin = now.Add(c.config.RejoinInterval)
	if len(c.byAddress) == 0 || c.isStartingUp(now) {
		c.nextRejoin = now.Add(c.config.ZoneInterval / 2)
	}
	c.rejoin.lost = slices.DeleteFunc(c.rejoin.lost, func(l lostAddress) bool {
		return now.Sub(l.since) >= c.config.RejoinTime
	})
	addresses := c.rejoin.candidates(func(address string) bool { return c.byAddress[address] != "" })
	if len(addresses) == 0 {
		return
	}
	if c.rejoin.next == 0 {
		c.rejoin.next = c.random.IntN(len(addresses))
	}
	c.rejoin.next++
	c.send(addresses[c.rejoin.next%len(addresses)], c.gossipHeartbeat(""))
}
