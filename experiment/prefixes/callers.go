package prefixes

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// turn is one request of a session.
type turn struct {
	id      string
	router  int
	arrived int64
	blocks  []uint64
	tokens  int
}

// callers yields sessions: conversations that begin with a common system prompt
// and grow with each turn.
type callers struct {
	world   *world
	random  *rand.Rand
	systems [][]uint64
	weights []float64
	started int
}

func newCallers(w *world, seed uint64) *callers {
	c := &callers{world: w, random: rand.New(rand.NewPCG(seed, 77))}
	sum := 0.0
	for i := range w.options.Systems {
		length := 1 + c.random.IntN(2*w.options.SystemBlocks)
		c.systems = append(c.systems, extend(nil, fmt.Sprint("system", i), length))
		sum += 1 / float64(i+1)
		c.weights = append(c.weights, sum)
	}
	return c
}

// extend adds blocks to a chain; each depends on all before it.
func extend(chain []uint64, text string, count int) []uint64 {
	extended := append([]uint64(nil), chain...)
	for i := range count {
		last := uint64(0)
		if len(extended) > 0 {
			last = extended[len(extended)-1]
		}
		extended = append(extended, xxhash.Sum64String(fmt.Sprint(last, text, i)))
	}
	return extended
}

// next begins a session and schedules the one after it.
func (c *callers) next() {
	c.world.after(c.exponential(time.Duration(float64(time.Second)/c.world.options.Sessions)), c.next)
	c.started++
	pick := c.random.Float64() * c.weights[len(c.weights)-1]
	system := 0
	for c.weights[system] < pick {
		system++
	}
	c.turn(c.started, 0, c.systems[system], c.random.IntN(c.world.options.Routers))
}

// turn sends one request and schedules the session's next.
func (c *callers) turn(session, number int, chain []uint64, router int) {
	chain = extend(chain, fmt.Sprint("session", session, number), 1+c.random.IntN(5))
	if !c.world.options.Sticky {
		router = c.random.IntN(c.world.options.Routers)
	}
	tokens := 1 + int(c.random.ExpFloat64()*80)
	c.world.send(&turn{id: fmt.Sprint(session, "-", number), router: router, blocks: chain, tokens: tokens})
	if c.random.Float64() < 1/c.world.options.Turns {
		return
	}
	wait := time.Duration(tokens)*tokenTime + c.exponential(c.world.options.Think)
	c.world.after(wait, func() { c.turn(session, number+1, chain, router) })
}

func (c *callers) exponential(mean time.Duration) time.Duration {
	return time.Duration(math.Min(c.random.ExpFloat64(), 100) * float64(mean))
}
