package experiment

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/simulation"
)

// Shape is the pattern of the session rate over a day.
type Shape string

// The shapes.
const (
	// ShapeSteady has a constant rate.
	ShapeSteady Shape = "steady"
	// ShapeDiurnal has its maximum at the hour Peak and falls to the share Floor of it twelve hours
	// later.
	ShapeDiurnal Shape = "diurnal"
	// ShapeWindow has sessions only between From and To of each day.
	ShapeWindow Shape = "window"
	// ShapePeriodic has one session per Period, delayed by a random time up to Jitter.
	ShapePeriodic Shape = "periodic"
	// ShapeWakeup activates the share Share of the models each day, each at a random time between
	// From and To. An activated model then has sessions for Awake.
	ShapeWakeup Shape = "wakeup"
)

// Traffic is a source of requests to the models of a group. A session is a sequence of requests of
// one client.
type Traffic struct {
	Name string `yaml:"name"`
	// Models is the name of the group. Target is "models", "adapters" or "all".
	Models string `yaml:"models"`
	Target string `yaml:"target"`
	Shape  Shape  `yaml:"shape"`
	// SessionsPerDay is the mean over all models of the group. Popularity is the exponent of the
	// Zipf distribution over the models; 0 distributes sessions evenly.
	SessionsPerDay float64 `yaml:"sessions_per_day"`
	Popularity     float64 `yaml:"popularity"`
	// Requests is the mean number of requests of a session, geometrically distributed. Think is the
	// mean time between them.
	Requests float64       `yaml:"requests"`
	Think    time.Duration `yaml:"think"`
	// Peak (hour of the day) and Floor belong to ShapeDiurnal.
	Peak  float64 `yaml:"peak"`
	Floor float64 `yaml:"floor"`
	// From and To are hours of the day.
	From float64 `yaml:"from"`
	To   float64 `yaml:"to"`
	// Period and Jitter belong to ShapePeriodic, Share and Awake to ShapeWakeup.
	Period time.Duration `yaml:"period"`
	Jitter time.Duration `yaml:"jitter"`
	Share  float64       `yaml:"share"`
	Awake  time.Duration `yaml:"awake"`
	// PromptTokens and Tokens are the means of exponential distributions.
	PromptTokens float64 `yaml:"prompt_tokens"`
	Tokens       float64 `yaml:"tokens"`
	// PrefixBlocks is the number of prefix blocks that the requests of a session share.
	PrefixBlocks int `yaml:"prefix_blocks"`
	// Deadline, Repeatable and Priority are stated in each request.
	Deadline   time.Duration `yaml:"deadline"`
	Repeatable bool          `yaml:"repeatable"`
	Priority   int           `yaml:"priority"`
}

// sessionGenerator generates the sessions of one traffic entry for one model.
type sessionGenerator struct {
	traffic *Traffic
	model   *Member
	random  *rand.Rand
	zones   []cluster.ZoneID
	// rate is the mean number of sessions per second over the day.
	rate         float64
	periodOffset time.Duration
	// awakeToday and awakeFrom describe the activation of ShapeWakeup on the day awakeDay.
	awakeDay     int
	awakeFrom    time.Duration
	awakeToday   bool
	sessionCount uint64
}

// trafficSource merges the arrivals of all generators in order of time.
type trafficSource struct {
	until time.Time
	queue arrivalQueue
}

// pendingArrival is a queued request, or the start of a generator's next session.
type pendingArrival struct {
	at             time.Time
	order          uint64
	generator      *sessionGenerator
	isSessionStart bool
	arrival        simulation.Arrival
}

// newTrafficSource returns a source of the arrivals of a scenario up to a time.
func newTrafficSource(scenario *Scenario, models *Models, seed uint64, until time.Time) *trafficSource {
	source := &trafficSource{until: until}
	zones := make([]cluster.ZoneID, 0, len(scenario.Zones))
	for _, zone := range scenario.Zones {
		zones = append(zones, cluster.ZoneID(zone.Name))
	}
	for i := range scenario.Traffic {
		traffic := &scenario.Traffic[i]
		members := models.matchingMembers(traffic)
		weights := zipf(len(members), traffic.Popularity)
		for j, member := range members {
			purpose := fmt.Sprintf("traffic/%s/%s", traffic.Name, member.ID)
			created := &sessionGenerator{
				traffic: traffic, model: member, zones: zones,
				random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose))),
				rate:   traffic.SessionsPerDay * weights[j] / (24 * time.Hour).Seconds(),
			}
			if traffic.Period > 0 {
				created.periodOffset = time.Duration(created.random.Int64N(int64(traffic.Period)))
			}
			created.awakeDay = -1
			source.scheduleSession(created, simulation.Epoch)
		}
	}
	return source
}

// zipf returns count weights with the sum 1 that fall with the given exponent.
func zipf(count int, exponent float64) []float64 {
	weights := make([]float64, count)
	total := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -exponent)
		total += weights[i]
	}
	for i := range weights {
		weights[i] /= total
	}
	return weights
}

// Next implements simulation.Source.
func (s *trafficSource) Next() (simulation.Arrival, bool) {
	for len(s.queue.items) > 0 {
		next := heap.Pop(&s.queue).(pendingArrival)
		if next.at.After(s.until) {
			return simulation.Arrival{}, false
		}
		if !next.isSessionStart {
			return next.arrival, true
		}
		s.queueSession(next.generator, next.at)
		s.scheduleSession(next.generator, next.at)
	}
	return simulation.Arrival{}, false
}

// scheduleSession queues the start of the generator's next session after a time.
func (s *trafficSource) scheduleSession(generator *sessionGenerator, after time.Time) {
	at, ok := generator.nextSession(after, s.until)
	if ok {
		s.enqueue(pendingArrival{at: at, generator: generator, isSessionStart: true})
	}
}

// queueSession queues all requests of a session.
func (s *trafficSource) queueSession(generator *sessionGenerator, at time.Time) {
	traffic := generator.traffic
	zone := generator.zones[generator.random.IntN(len(generator.zones))]
	prefixes := generator.newSessionPrefixes()
	for {
		s.enqueue(pendingArrival{at: at, generator: generator, arrival: simulation.Arrival{
			At: at, Model: generator.model.ID, Zone: zone, TokenPath: generator.model.Team, Team: generator.model.Team,
			Priority: traffic.Priority, Deadline: traffic.Deadline, Repeatable: traffic.Repeatable,
			PromptTokens: generator.randomTokenCount(traffic.PromptTokens), Tokens: generator.randomTokenCount(traffic.Tokens), Prefixes: prefixes,
		}})
		if generator.random.Float64() >= 1-1/math.Max(traffic.Requests, 1) {
			return
		}
		at = at.Add(time.Duration(generator.random.ExpFloat64() * float64(traffic.Think)))
	}
}

// enqueue adds an item to the queue.
func (s *trafficSource) enqueue(item pendingArrival) {
	s.queue.enqueued++
	item.order = s.queue.enqueued
	heap.Push(&s.queue, item)
}

// randomTokenCount returns a random number of tokens, at least one.
func (g *sessionGenerator) randomTokenCount(mean float64) int {
	return 1 + int(g.random.ExpFloat64()*mean)
}

// newSessionPrefixes returns the prompt prefix blocks of a new session. The first half is common to
// all sessions of the model.
func (g *sessionGenerator) newSessionPrefixes() []uint64 {
	if g.traffic.PrefixBlocks == 0 {
		return nil
	}
	g.sessionCount++
	blocks := make([]uint64, g.traffic.PrefixBlocks)
	for i := range blocks {
		key := fmt.Sprintf("%s/%d", g.model.ID, i)
		if i >= len(blocks)/2 {
			key += fmt.Sprintf("/%s/%d", g.traffic.Name, g.sessionCount)
		}
		blocks[i] = xxhash.Sum64String(key)
	}
	return blocks
}

// nextSession returns the time of the generator's next session after a time, or false if there is
// none until the end.
func (g *sessionGenerator) nextSession(after, until time.Time) (time.Time, bool) {
	if g.traffic.Shape == ShapePeriodic {
		return g.nextPeriodicSession(after), true
	}
	// Thinning: candidate times are generated at the maximum rate, and each is accepted with the
	// probability of the rate at its time divided by the maximum rate.
	peak := g.rate * g.maxRateFactor()
	for at := after; ; {
		if peak <= 0 {
			return time.Time{}, false
		}
		at = at.Add(time.Duration(math.Min(g.random.ExpFloat64()/peak, 1e7) * float64(time.Second)))
		if at.After(until) {
			return time.Time{}, false
		}
		if g.random.Float64()*g.maxRateFactor() < g.rateFactor(at) {
			return at, true
		}
	}
}

// nextPeriodicSession returns the next multiple of the period, with jitter.
func (g *sessionGenerator) nextPeriodicSession(after time.Time) time.Time {
	period := g.traffic.Period
	since := after.Sub(simulation.Epoch) - g.periodOffset
	number := since/period + 1
	if since < 0 {
		number = 0
	}
	at := simulation.Epoch.Add(g.periodOffset + number*period)
	if g.traffic.Jitter > 0 {
		at = at.Add(time.Duration(g.random.Int64N(int64(g.traffic.Jitter))))
	}
	return at
}

// maxRateFactor returns the maximum of rateFactor over the day.
func (g *sessionGenerator) maxRateFactor() float64 {
	switch g.traffic.Shape {
	case ShapeDiurnal:
		return 2 / (1 + g.traffic.Floor)
	case ShapeWindow:
		return 24 / (g.traffic.To - g.traffic.From)
	case ShapeWakeup:
		return (24 * time.Hour).Seconds() / g.traffic.Awake.Seconds()
	default:
		return 1
	}
}

// rateFactor returns the rate at a time as a multiple of the daily mean.
func (g *sessionGenerator) rateFactor(at time.Time) float64 {
	since := at.Sub(simulation.Epoch)
	hour := math.Mod(since.Hours(), 24)
	switch g.traffic.Shape {
	case ShapeDiurnal:
		wave := (1 + math.Cos((hour-g.traffic.Peak)/24*2*math.Pi)) / 2
		floor := g.traffic.Floor
		return (floor + (1-floor)*wave) * 2 / (1 + floor)
	case ShapeWindow:
		if hour < g.traffic.From || hour >= g.traffic.To {
			return 0
		}
		return g.maxRateFactor()
	case ShapeWakeup:
		return g.wakeupRateFactor(since)
	default:
		return 1
	}
}

// wakeupRateFactor returns the rate factor of ShapeWakeup: zero while the model is inactive, the
// maximum while it is active.
func (g *sessionGenerator) wakeupRateFactor(since time.Duration) float64 {
	const day = 24 * time.Hour
	if today := int(since / day); today != g.awakeDay {
		g.awakeDay = today
		g.awakeToday = g.random.Float64() < g.traffic.Share
		hour := g.traffic.From + g.random.Float64()*(g.traffic.To-g.traffic.From)
		g.awakeFrom = time.Duration(today)*day + time.Duration(hour*float64(time.Hour))
	}
	if !g.awakeToday || since < g.awakeFrom || since >= g.awakeFrom+g.traffic.Awake {
		return 0
	}
	return g.maxRateFactor()
}

// arrivalQueue is a heap ordered by time, then by order of insertion.
type arrivalQueue struct {
	items    []pendingArrival
	enqueued uint64
}

// Len implements heap.Interface.
func (q *arrivalQueue) Len() int { return len(q.items) }

// Less implements heap.Interface.
func (q *arrivalQueue) Less(i, j int) bool {
	if !q.items[i].at.Equal(q.items[j].at) {
		return q.items[i].at.Before(q.items[j].at)
	}
	return q.items[i].order < q.items[j].order
}

// Swap implements heap.Interface.
func (q *arrivalQueue) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }

// Push implements heap.Interface.
func (q *arrivalQueue) Push(item any) { q.items = append(q.items, item.(pendingArrival)) }

// Pop implements heap.Interface.
func (q *arrivalQueue) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}
