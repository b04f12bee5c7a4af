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
	// keyBound is how long a key may still be used after it was revoked.
	keyBound = 5 * time.Second
	// keyRotationInterval is the time between two replacements of one tenant's key,
	// keyedInterval the time between two requests of that tenant.
	keyRotationInterval = 4 * time.Second
	keyedInterval       = 120 * time.Millisecond
	// revokedKeyShare is the share of these requests that use a revoked key, one of the last
	// revokedKeysUsed.
	revokedKeyShare = 0.4
	revokedKeysUsed = 3
	// floodInterval is the time between two requests of the flooding tenant, five times as
	// many as its limit permits.
	floodInterval = 40 * time.Millisecond
	floodKey      = "flood-key"

	keyedTenant = "rotating"
	floodTenant = "flooding"
)

// floodLimit is the request limit of the flooding tenant.
var floodLimit = check.Limit{Rate: 5, Burst: 5, Slack: 6, Overrun: 0.1, Window: 8 * time.Second}

// keyName returns the key with the given number.
func keyName(number int) string { return fmt.Sprintf("key-%d", number) }

// tenants returns the tenants of the current configuration.
func (c *configuration) tenants() []platform.TenantDocument {
	if c.options.Schedule.Keyless {
		return nil
	}
	return []platform.TenantDocument{
		{Name: keyedTenant, Keys: []string{keyName(c.keyNumber)}},
		{Name: floodTenant, Keys: []string{floodKey}, RatePerS: float64(floodLimit.Rate), Burst: float64(floodLimit.Burst)},
	}
}

// rotate replaces the key of the rotating tenant. In a deployment without keys it only writes
// another version.
func (c *configuration) rotate() {
	before := ""
	c.change(func() {
		before = keyName(c.keyNumber)
		c.keyNumber++
	})
	if c.options.Schedule.Keyless {
		return
	}
	revoked := check.RevokedKey{Key: before, At: c.recorder.elapsed()}
	c.recorder.record(func(h *check.History) { h.RevokedKeys = append(h.RevokedKeys, revoked) })
}

// key draws a key of the rotating tenant: the current one or a revoked one.
func (c *configuration) key(random *rand.Rand) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.keyNumber > 0 && random.Float64() < revokedKeyShare {
		return keyName(max(c.keyNumber-1-random.IntN(revokedKeysUsed), 0))
	}
	return keyName(c.keyNumber)
}

// rotateKeys replaces the key at regular intervals until the context ends.
func (r *run) rotateKeys(ctx context.Context) {
	ticker := time.NewTicker(keyRotationInterval)
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

// sendKeyed sends requests of a tenant to randomly drawn nodes until the context ends.
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
