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
	id        string
	router    int
	arrivedAt int64
	blocks    []uint64
	tokens    int
}

// sessionGenerator generates sessions: conversations that start with a common system prompt and
// grow with each turn.
type sessionGenerator struct {
	simulator         *simulator
	random            *rand.Rand
	systemPrompts     [][]uint64
	cumulativeWeights []float64
	startedSessions   int
}

// newSessionGenerator creates the system prompts. The probability of a system prompt is proportional to
// the inverse of its rank.
func newSessionGenerator(s *simulator, seed uint64) *sessionGenerator {
	g := &sessionGenerator{simulator: s, random: rand.New(rand.NewPCG(seed, 77))}
	totalWeight := 0.0
	for i := range s.options.SystemPrompts {
		length := 1 + g.random.IntN(2*s.options.MeanSystemBlocks)
		g.systemPrompts = append(g.systemPrompts, extendChain(nil, fmt.Sprint("system", i), length))
		totalWeight += 1 / float64(i+1)
		g.cumulativeWeights = append(g.cumulativeWeights, totalWeight)
	}
	return g
}

// extendChain returns the chain with count blocks appended. Each block hash depends on all blocks
// before it.
func extendChain(chain []uint64, text string, count int) []uint64 {
	extended := append([]uint64(nil), chain...)
	for i := range count {
		previous := uint64(0)
		if len(extended) > 0 {
			previous = extended[len(extended)-1]
		}
		extended = append(extended, xxhash.Sum64String(fmt.Sprint(previous, text, i)))
	}
	return extended
}

// startSession starts a session and schedules the start of the next one.
func (g *sessionGenerator) startSession() {
	g.simulator.schedule(g.exponentialDuration(time.Duration(float64(time.Second)/g.simulator.options.SessionRate)), g.startSession)
	g.startedSessions++
	draw := g.random.Float64() * g.cumulativeWeights[len(g.cumulativeWeights)-1]
	system := 0
	for g.cumulativeWeights[system] < draw {
		system++
	}
	g.sendTurn(g.startedSessions, 0, g.systemPrompts[system], g.random.IntN(g.simulator.options.Routers))
}

// sendTurn sends one request and schedules the next turn of the session.
func (g *sessionGenerator) sendTurn(session, number int, chain []uint64, router int) {
	chain = extendChain(chain, fmt.Sprint("session", session, number), 1+g.random.IntN(5))
	if !g.simulator.options.StickySessions {
		router = g.random.IntN(g.simulator.options.Routers)
	}
	tokens := 1 + int(g.random.ExpFloat64()*80)
	g.simulator.sendToRouter(&turn{id: fmt.Sprint(session, "-", number), router: router, blocks: chain, tokens: tokens})
	if g.random.Float64() < 1/g.simulator.options.MeanTurns {
		return
	}
	wait := time.Duration(tokens)*tokenInterval + g.exponentialDuration(g.simulator.options.MeanThinkTime)
	g.simulator.schedule(wait, func() { g.sendTurn(session, number+1, chain, router) })
}

// exponentialDuration returns a random duration with the given mean, at most 100 times the mean.
func (g *sessionGenerator) exponentialDuration(mean time.Duration) time.Duration {
	return time.Duration(math.Min(g.random.ExpFloat64(), 100) * float64(mean))
}
