package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/soak/check"
)

const (
	// keyBound is for how long a key may be used after it was taken away.
	keyBound = 5 * time.Second
	// rotateEvery is how often the key of one tenant is replaced, keyedEvery how often its
	// callers send.
	rotateEvery = 4 * time.Second
	keyedEvery  = 120 * time.Millisecond
	// oldKeyShare of them use a key that was taken away, one of the last oldKeys.
	oldKeyShare = 0.4
	oldKeys     = 3
	// floodEvery is how often the other tenant's callers send: five times what they may.
	floodEvery = 40 * time.Millisecond
	floodKey   = "flood-key"

	keyedTenant = "rotating"
	floodTenant = "flooding"
)

// floodLimit is what the tenant that floods may use.
var floodLimit = check.Limit{Rate: 5, Burst: 5, Slack: 6, Overrun: 0.1, Window: 8 * time.Second}

// keyName is the key of a number.
func keyName(number int) string { return fmt.Sprintf("key-%d", number) }

// tenants lists the tenants of the present configuration.
func (c *configuration) tenants() []platform.TenantDocument {
	if c.options.Schedule.Keyless {
		return nil
	}
	return []platform.TenantDocument{
		{Name: keyedTenant, Keys: []string{keyName(c.keys)}},
		{Name: floodTenant, Keys: []string{floodKey}, RatePerS: float64(floodLimit.Rate), Burst: float64(floodLimit.Burst)},
	}
}

// rotate replaces the key of one tenant; without keys it only makes another version.
func (c *configuration) rotate() {
	before := ""
	c.change(func() {
		before = keyName(c.keys)
		c.keys++
	})
	if c.options.Schedule.Keyless {
		return
	}
	taken := check.TakenKey{Key: before, At: c.recorder.now()}
	c.recorder.record(func(h *check.History) { h.Taken = append(h.Taken, taken) })
}

// key draws a key of the tenant whose keys are replaced: the newest or an old one.
func (c *configuration) key(random *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keys > 0 && random.Float64() < oldKeyShare {
		return keyName(max(c.keys-1-random.IntN(oldKeys), 0))
	}
	return keyName(c.keys)
}

// rotateKeys replaces keys until the context ends.
func (r *run) rotateKeys(ctx context.Context) {
	ticker := time.NewTicker(rotateEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.configuration.rotate()
		case <-ctx.Done():
			return
		}
	}
}

// sendKeyed sends requests of a tenant to nodes of its own draw until the context ends.
func (r *run) sendKeyed(ctx context.Context, prefix string, every time.Duration, key func(random *rand.Rand) string) {
	random := rand.New(rand.NewPCG(r.options.Schedule.Seed, uint64(every)))
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for number := 0; ctx.Err() == nil; number++ {
		node := r.nodes[random.IntN(len(r.nodes))]
		request := check.Request{
			ID: fmt.Sprintf("%s%d", prefix, number), Node: node.index, Route: check.RouteKeyed, Deadline: minDeadline, Key: key(random),
		}
		r.restarts.Go(func() { node.sendOnce(ctx, request) })
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}
