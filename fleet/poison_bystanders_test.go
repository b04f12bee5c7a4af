package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
)

// These tests guard against a failure in which 22 of 360 other requests were served. Two nodes
// each received a request that ends its worker every tenth of a second, and six workers took 0.8
// s to restart. Workers ended faster than they restarted, and nothing distinguished the harmful
// request from the requests that ran beside it.

// Timings of the simulated storm and its bystanders.
const (
	stormDuration     = 8 * time.Second
	harmfulInterval   = 100 * time.Millisecond
	stormRestartDelay = 800 * time.Millisecond
	bystanderInterval = 22 * time.Millisecond
	maxBystanderTries = 4
	bystanderTimeout  = 8 * time.Second
)

// bystander is a caller of a harmless request. It retries after the Retry-After, or almost at
// once if there is none, until its deadline.
type bystander struct {
	content  poison.Fingerprint
	caller   uint64
	deadline time.Time
	tries    int
	served   bool
}

// crashStorm is a simulation in which workers are ended one after the other.
type crashStorm struct {
	*poisonSimulation
	pendingBystanders map[cluster.RequestID]*bystander
	allBystanders     []*bystander
	// harmfulContents are the contents of the harmful requests by ID.
	harmfulContents map[cluster.RequestID]poison.Fingerprint
}

func newCrashStorm(seed uint64) *crashStorm {
	s := &crashStorm{poisonSimulation: newPoisonSimulation(seed, 2, 6), pendingBystanders: map[cluster.RequestID]*bystander{}, harmfulContents: map[cluster.RequestID]poison.Fingerprint{}}
	s.restartDelay = func() time.Duration { return stormRestartDelay }
	s.content = s.contentOfAny
	s.onAnswer = s.bystanderAnswered
	return s
}

func (s *crashStorm) contentOfAny(id cluster.RequestID) poison.Fingerprint {
	if content, harmful := s.harmfulContents[id]; harmful {
		return content
	}
	if b := s.pendingBystanders[id]; b != nil {
		return b.content
	}
	return poison.Fingerprint{}
}

// sendHarmfulPeriodically sends harmful requests to one node until the storm ends.
func (s *crashStorm) sendHarmfulPeriodically(n *simulatedNode, until time.Time, content func() poison.Fingerprint) {
	if s.now.After(until) {
		return
	}
	s.requestCount++
	id := cluster.RequestID(fmt.Sprintf("r%d", s.requestCount))
	s.harmful[id], s.harmfulContents[id] = true, content()
	s.submit(n, id, s.harmfulContents[id], harmfulCaller, s.now.Add(bystanderTimeout))
	s.after(harmfulInterval, func() { s.sendHarmfulPeriodically(n, until, content) })
}

// harmfulCaller is the caller of the harmful requests; all other callers have other numbers.
const harmfulCaller = 1

func (s *crashStorm) submit(n *simulatedNode, id cluster.RequestID, content poison.Fingerprint, caller uint64, deadline time.Time) {
	s.step(n, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: id, Model: catalog.ModelID("s", "a"), TokenPath: "/", Deadline: deadline, Objective: time.Second,
		Repeatable: true, Attempts: 2, Content: content, Caller: caller,
	}}})
}

// sendBystandersPeriodically sends harmless requests until the storm ends.
func (s *crashStorm) sendBystandersPeriodically(until time.Time) {
	if s.now.After(until) {
		return
	}
	b := &bystander{caller: uint64(2 + s.random.IntN(20)), deadline: s.now.Add(bystanderTimeout)}
	content := poison.Content{Target: fmt.Sprint(len(s.allBystanders))}
	b.content = content.Fingerprint()
	s.allBystanders = append(s.allBystanders, b)
	s.sendBystander(b)
	s.after(bystanderInterval, func() { s.sendBystandersPeriodically(until) })
}

func (s *crashStorm) sendBystander(b *bystander) {
	b.tries++
	s.requestCount++
	id := cluster.RequestID(fmt.Sprintf("r%d", s.requestCount))
	s.pendingBystanders[id] = b
	s.submit(s.nodes[s.random.IntN(len(s.nodes))], id, b.content, b.caller, b.deadline)
}

// bystanderAnswered handles the answer to a bystander and schedules its retry.
func (s *crashStorm) bystanderAnswered(e routing.Finish) {
	b := s.pendingBystanders[e.Request]
	if b == nil {
		return
	}
	if e.Failure == nil {
		b.served = true
		return
	}
	at := s.now.Add(max(e.Failure.RetryAfter, 50*time.Millisecond))
	if b.tries < maxBystanderTries && at.Before(b.deadline) {
		s.after(at.Sub(s.now), func() { s.sendBystander(b) })
	}
}

// run runs the storm and returns the numbers of served bystanders and of all bystanders.
func (s *crashStorm) run(content func() poison.Fingerprint) (served, all int) {
	until := s.now.Add(stormDuration)
	for _, n := range s.nodes {
		s.sendHarmfulPeriodically(n, until, content)
	}
	s.sendBystandersPeriodically(until)
	s.runFor(stormDuration + bystanderTimeout + time.Second)
	for _, b := range s.allBystanders {
		if b.served {
			served++
		}
	}
	return served, len(s.allBystanders)
}

// stormSeeds is the number of storms that each test runs.
const stormSeeds = 20

// Guards against refusing other requests while one harmful request is repeated: 95% are served.
func TestBystandersOfOneHarmfulRequestAreServed(t *testing.T) {
	for seed := range uint64(stormSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newCrashStorm(seed)
			served, all := s.run(func() poison.Fingerprint { return harmfulContent })
			t.Logf("%d of %d served, %d ends", served, all, len(s.engineEnds))
			if 100*served < 95*all {
				t.Errorf("%d of %d other requests were served, %d engines ended", served, all, len(s.engineEnds))
			}
		})
	}
}

// Guards against refusing other callers while one caller sends a different harmful request each
// time: 80% of their requests are served.
func TestBystandersOfManyHarmfulRequestsAreServed(t *testing.T) {
	for seed := range uint64(stormSeeds) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			s := newCrashStorm(seed)
			number := 0
			served, all := s.run(func() poison.Fingerprint {
				number++
				content := poison.Content{Caller: "harmful", Target: fmt.Sprint(number)}
				return content.Fingerprint()
			})
			t.Logf("%d of %d served, %d ends", served, all, len(s.engineEnds))
			if 100*served < 80*all {
				t.Errorf("%d of %d requests of other callers were served, %d engines ended", served, all, len(s.engineEnds))
			}
		})
	}
}
