package membership

import (
	"slices"
	"time"
)

// lostAddresses bounds the addresses of dead members that are still tried.
const lostAddresses = 32

// rejoin remembers where others may be found: the seeds, and the addresses of
// members that were lost, for after a partition nobody else may know them.
type rejoin struct {
	seeds []string
	lost  []lostAddress
	turn  int
}

type lostAddress struct {
	address string
	since   time.Time
}

// add remembers the address of a lost member; the oldest gives way.
func (r *rejoin) add(address string, now time.Time) {
	r.remove(address)
	r.lost = append(r.lost, lostAddress{address: address, since: now})
	if len(r.lost) > lostAddresses {
		r.lost = slices.Delete(r.lost, 0, 1)
	}
}

func (r *rejoin) remove(address string) {
	r.lost = slices.DeleteFunc(r.lost, func(l lostAddress) bool { return l.address == address })
}

// candidates lists the seeds and lost addresses at which no member runs.
func (r *rejoin) candidates(taken func(address string) bool) []string {
	r.lost = slices.DeleteFunc(r.lost, func(l lostAddress) bool { return taken(l.address) })
	var addresses []string
	for _, seed := range r.seeds {
		if !taken(seed) {
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

// askDue sends a heartbeat to one address in turn where a member may be found,
// beginning with a random one. It does so more often after the start, as the
// first one found may have just started too and know nobody.
func (c *Core) askDue(now time.Time) {
	if now.Before(c.nextAsk) {
		return
	}
	c.nextAsk = now.Add(c.config.RejoinInterval)
	if len(c.byAddress) == 0 || c.isYoung(now) {
		c.nextAsk = now.Add(c.config.ZoneInterval / 2)
	}
	c.rejoin.lost = slices.DeleteFunc(c.rejoin.lost, func(l lostAddress) bool {
		return now.Sub(l.since) >= c.config.RejoinTime
	})
	addresses := c.rejoin.candidates(func(address string) bool { return c.byAddress[address] != "" })
	if len(addresses) == 0 {
		return
	}
	if c.rejoin.turn == 0 {
		c.rejoin.turn = c.random.IntN(len(addresses))
	}
	c.rejoin.turn++
	c.send(addresses[c.rejoin.turn%len(addresses)], c.heartbeat(""))
}
