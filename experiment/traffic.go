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

// Shape is how the rate of sessions changes over a day.
type Shape string

// The shapes.
const (
	// ShapeSteady has the same rate all day.
	ShapeSteady Shape = "steady"
	// ShapeDiurnal peaks at Peak and falls to Floor at the opposite hour.
	ShapeDiurnal Shape = "diurnal"
	// ShapeWindow has sessions only between From and To each day.
	ShapeWindow Shape = "window"
	// ShapePeriodic has one session each Period, with Jitter.
	ShapePeriodic Shape = "periodic"
	// ShapeWakeup wakes Share of the models at a random time between From and
	// To each day; each then has sessions for Awake.
	ShapeWakeup Shape = "wakeup"
)

// Traffic is one source of requests to a group's models. A session is a run of
// requests of one caller.
type Traffic struct {
	Name string `yaml:"name"`
	// Models is the group; Target is "models", "adapters" or "all".
	Models string `yaml:"models"`
	Target string `yaml:"target"`
	Shape  Shape  `yaml:"shape"`
	// SessionsPerDay over all models of the group. Popularity is the exponent
	// of the Zipf distribution over them; 0 is even.
	SessionsPerDay float64 `yaml:"sessions_per_day"`
	Popularity     float64 `yaml:"popularity"`
	// Requests of a session: mean of a geometric distribution. Think is the
	// mean pause between them.
	Requests float64       `yaml:"requests"`
	Think    time.Duration `yaml:"think"`
	// Peak hour and Floor of ShapeDiurnal.
	Peak  float64 `yaml:"peak"`
	Floor float64 `yaml:"floor"`
	// From and To are hours of the day.
	From float64 `yaml:"from"`
	To   float64 `yaml:"to"`
	// Period, Jitter of ShapePeriodic; Share and Awake of ShapeWakeup.
	Period time.Duration `yaml:"period"`
	Jitter time.Duration `yaml:"jitter"`
	Share  float64       `yaml:"share"`
	Awake  time.Duration `yaml:"awake"`
	// PromptTokens and Tokens are means of exponential distributions.
	PromptTokens float64 `yaml:"prompt_tokens"`
	Tokens       float64 `yaml:"tokens"`
	// PrefixBlocks shared by the requests of a session.
	PrefixBlocks int `yaml:"prefix_blocks"`
	// Deadline of a request; Repeatable and Priority as callers state them.
	Deadline   time.Duration `yaml:"deadline"`
	Repeatable bool          `yaml:"repeatable"`
	Priority   int           `yaml:"priority"`
}

// generator yields the sessions of one traffic entry for one model.
type generator struct {
	traffic *Traffic
	model   *Member
	random  *rand.Rand
	zones   []cluster.ZoneID
	// rate of sessions a second, averaged over the day.
	rate  float64
	phase time.Duration
	// awake is the day's awake window of ShapeWakeup.
	wakeDay   int
	wakeFrom  time.Duration
	wakeWakes bool
	number    uint64
}

// trafficSource merges the generators' arrivals in order of time.
type trafficSource struct {
	until time.Time
	queue arrivalQueue
}

// pendingArrival is a request or the next session of a generator.
type pendingArrival struct {
	at      time.Time
	order   uint64
	from    *generator
	session bool
	arrival simulation.Arrival
}

// newSource returns the arrivals of a scenario up to a time.
func newSource(scenario *Scenario, models *Models, seed uint64, until time.Time) *trafficSource {
	source := &trafficSource{until: until}
	zones := make([]cluster.ZoneID, 0, len(scenario.Zones))
	for _, zone := range scenario.Zones {
		zones = append(zones, cluster.ZoneID(zone.Name))
	}
	for i := range scenario.Traffic {
		traffic := &scenario.Traffic[i]
		members := models.targets(traffic)
		weights := zipf(len(members), traffic.Popularity)
		for j, member := range members {
			purpose := fmt.Sprintf("traffic/%s/%s", traffic.Name, member.ID)
			created := &generator{
				traffic: traffic, model: member, zones: zones,
				random: rand.New(rand.NewPCG(seed, xxhash.Sum64String(purpose))),
				rate:   traffic.SessionsPerDay * weights[j] / (24 * time.Hour).Seconds(),
			}
			if traffic.Period > 0 {
				created.phase = time.Duration(created.random.Int64N(int64(traffic.Period)))
			}
			created.wakeDay = -1
			source.schedule(created, simulation.Epoch)
		}
	}
	return source
}

// zipf returns count weights that sum to 1, falling with the given exponent.
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
		if !next.session {
			return next.arrival, true
		}
		s.begin(next.from, next.at)
		s.schedule(next.from, next.at)
	}
	return simulation.Arrival{}, false
}

// schedule queues the generator's next session after a time.
func (s *trafficSource) schedule(from *generator, after time.Time) {
	at, ok := from.next(after, s.until)
	if ok {
		s.push(pendingArrival{at: at, from: from, session: true})
	}
}

// begin queues the requests of a session.
func (s *trafficSource) begin(from *generator, at time.Time) {
	traffic := from.traffic
	zone := from.zones[from.random.IntN(len(from.zones))]
	prefixes := from.prefixes()
	for {
		s.push(pendingArrival{at: at, from: from, arrival: simulation.Arrival{
			At: at, Model: from.model.ID, Zone: zone, TokenPath: from.model.Team, Team: from.model.Team,
			Priority: traffic.Priority, Deadline: traffic.Deadline, Repeatable: traffic.Repeatable,
			PromptTokens: from.tokens(traffic.PromptTokens), Tokens: from.tokens(traffic.Tokens), Prefixes: prefixes,
		}})
		if from.random.Float64() >= 1-1/math.Max(traffic.Requests, 1) {
			return
		}
		at = at.Add(time.Duration(from.random.ExpFloat64() * float64(traffic.Think)))
	}
}

// push queues one item.
func (s *trafficSource) push(item pendingArrival) {
	s.queue.pushed++
	item.order = s.queue.pushed
	heap.Push(&s.queue, item)
}

// tokens draws a number of tokens, at least one.
func (g *generator) tokens(mean float64) int { return 1 + int(g.random.ExpFloat64()*mean) }

// prefixes returns the prompt prefix blocks of a new session: the first half is
// common to all of the model's sessions.
func (g *generator) prefixes() []uint64 {
	if g.traffic.PrefixBlocks == 0 {
		return nil
	}
	g.number++
	blocks := make([]uint64, g.traffic.PrefixBlocks)
	for i := range blocks {
		key := fmt.Sprintf("%s/%d", g.model.ID, i)
		if i >= len(blocks)/2 {
			key += fmt.Sprintf("/%s/%d", g.traffic.Name, g.number)
		}
		blocks[i] = xxhash.Sum64String(key)
	}
	return blocks
}

// next returns the time of the generator's next session after a time.
func (g *generator) next(after, until time.Time) (time.Time, bool) {
	if g.traffic.Shape == ShapePeriodic {
		return g.nextPeriodic(after), true
	}
	// Thinning: candidates at the peak rate, kept by the rate at their time.
	peak := g.rate * g.peakFactor()
	for at := after; ; {
		if peak <= 0 {
			return time.Time{}, false
		}
		at = at.Add(time.Duration(math.Min(g.random.ExpFloat64()/peak, 1e7) * float64(time.Second)))
		if at.After(until) {
			return time.Time{}, false
		}
		if g.random.Float64()*g.peakFactor() < g.factor(at) {
			return at, true
		}
	}
}

// nextPeriodic returns the next multiple of the period, jittered.
func (g *generator) nextPeriodic(after time.Time) time.Time {
	period := g.traffic.Period
	since := after.Sub(simulation.Epoch) - g.phase
	number := since/period + 1
	if since < 0 {
		number = 0
	}
	at := simulation.Epoch.Add(g.phase + number*period)
	if g.traffic.Jitter > 0 {
		at = at.Add(time.Duration(g.random.Int64N(int64(g.traffic.Jitter))))
	}
	return at
}

// peakFactor is the largest value of factor.
func (g *generator) peakFactor() float64 {
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

// factor is the rate at a time as a multiple of the day's mean.
func (g *generator) factor(at time.Time) float64 {
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
		return g.peakFactor()
	case ShapeWakeup:
		return g.wakeFactor(since)
	default:
		return 1
	}
}

// wakeFactor is the rate of ShapeWakeup: the model sleeps or is awake.
func (g *generator) wakeFactor(since time.Duration) float64 {
	const day = 24 * time.Hour
	if today := int(since / day); today != g.wakeDay {
		g.wakeDay = today
		g.wakeWakes = g.random.Float64() < g.traffic.Share
		hour := g.traffic.From + g.random.Float64()*(g.traffic.To-g.traffic.From)
		g.wakeFrom = time.Duration(today)*day + time.Duration(hour*float64(time.Hour))
	}
	if !g.wakeWakes || since < g.wakeFrom || since >= g.wakeFrom+g.traffic.Awake {
		return 0
	}
	return g.peakFactor()
}

// arrivalQueue is a heap by time, then by order of queueing.
type arrivalQueue struct {
	items  []pendingArrival
	pushed uint64
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
