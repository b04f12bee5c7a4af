package dispatch

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// The simulated load is a busy quarter of a minute: 60 engines with 20 models, each in one to four
// replicas, behind 78 nodes. Engines prefill for a fifth of the time, so that answers are late
// only because of where and when prompts are prefilled.
const (
	simEngines  = 60
	simModels   = 20
	simNodes    = 78
	simDuration = 15 * time.Second
	// simSeeds is the number of simulated loads: models share engines by chance.
	simSeeds = 6
	// simStep is the time step of the simulation, simNetworkDelay the time that a message takes.
	simStep, simNetworkDelay             = time.Millisecond, 2 * time.Millisecond
	simPlansPerSecond, simChatsPerSecond = 50, 60
	// The caller of a chat gives up after 500 ms without an event, the caller of a plan after 800
	// ms.
	simChatTimeout, simPlanTimeout = 500 * time.Millisecond, 800 * time.Millisecond
)

// simRequest is a simulated request. Its times count from the start of the simulation.
type simRequest struct {
	number      int64
	node, model int
	arrivedAt   time.Duration
	chat        bool
	tokens      int
	// remainingEvents counts the events still to come. lastEventAt is the time of the last event,
	// longestPause the longest wait for one.
	remainingEvents, decodeSteps int
	timeToFirstEvent             time.Duration
	lastEventAt, longestPause    time.Duration
	engine                       int
}

// late reports whether the caller gave up.
func (r *simRequest) late() bool {
	if r.chat {
		return r.longestPause > simChatTimeout
	}
	return r.timeToFirstEvent > simPlanTimeout
}

// simEngine prefills prompts in chunks between decode steps, chats first.
type simEngine struct {
	busyUntil         time.Duration
	prefills, streams []*simRequest
	// pendingEvents are the requests that get an event at busyUntil, the end of the current step.
	pendingEvents []*simRequest
	// unreadTokens counts the tokens of each prompt that are not prefilled yet; prefillTime is the
	// total time of all prefills.
	unreadTokens map[*simRequest]int
	prefillTime  time.Duration
	// decodeNext is true after a chunk: the streams make a decode step before the next chunk.
	decodeNext bool
}

// advance runs the engine until the given time and calls event for each event of an answer.
func (e *simEngine) advance(until time.Duration, event func(r *simRequest, at time.Duration)) {
	const chunkTokens, tokensPerMS, decodeStepTime = 4096, 38, 5 * time.Millisecond
	for e.busyUntil <= until {
		for _, r := range e.pendingEvents {
			event(r, e.busyUntil)
		}
		e.pendingEvents = e.pendingEvents[:0]
		e.streams = slices.DeleteFunc(e.streams, func(r *simRequest) bool { return r.remainingEvents <= 0 })
		switch {
		case len(e.prefills) > 0 && !(e.decodeNext && len(e.streams) > 0):
			r := e.prefills[max(slices.IndexFunc(e.prefills, func(r *simRequest) bool { return r.chat }), 0)]
			read := min(chunkTokens, e.unreadTokens[r])
			elapsed := time.Duration(read) * time.Millisecond / tokensPerMS
			e.busyUntil, e.prefillTime, e.decodeNext = e.busyUntil+elapsed, e.prefillTime+elapsed, true
			if e.unreadTokens[r] -= read; e.unreadTokens[r] == 0 {
				delete(e.unreadTokens, r)
				e.prefills = slices.DeleteFunc(e.prefills, func(o *simRequest) bool { return o == r })
				e.streams, e.pendingEvents = append(e.streams, r), append(e.pendingEvents, r)
			}
		case len(e.streams) > 0:
			e.busyUntil, e.decodeNext = e.busyUntil+decodeStepTime, false
			for _, r := range e.streams {
				if r.decodeSteps++; r.decodeSteps%6 == 0 {
					e.pendingEvents = append(e.pendingEvents, r)
				}
			}
		default:
			e.busyUntil = until + 1
		}
	}
}

// placementStrategy chooses engines. place calls simulation.send once the engine is known.
type placementStrategy interface {
	place(p *simulation, r *simRequest)
	// onEvent is called when an answer begins or ends, onTick at each time step.
	onEvent(p *simulation, r *simRequest)
	onTick(p *simulation)
}

// simulation is the state of one run.
type simulation struct {
	now      time.Duration
	random   *rand.Rand
	engines  [simEngines]*simEngine
	replicas [simModels][]int
	strategy placementStrategy
	// messages counts the messages between nodes, and between nodes and engines.
	messages int
}

// send adds a request to the prefill queue of an engine.
func (p *simulation) send(r *simRequest, engine int) {
	e := p.engines[engine]
	r.engine = engine
	e.busyUntil = max(e.busyUntil, p.now)
	e.prefills = append(e.prefills, r)
	e.unreadTokens[r] = r.tokens
}

// leastLoaded returns the least loaded of a random sample of the replicas of a model.
func (p *simulation) leastLoaded(r *simRequest, sample int, load func(engine int) int) int {
	replicas := slices.Clone(p.replicas[r.model])
	p.random.Shuffle(len(replicas), func(i, j int) { replicas[i], replicas[j] = replicas[j], replicas[i] })
	return slices.MinFunc(replicas[:min(sample, len(replicas))], func(a, b int) int { return cmp.Compare(load(a), load(b)) })
}

// simWorkload returns the requests and the replicas of each model. They depend on the seed alone,
// so that all strategies get the same load.
func simWorkload(seed uint64) (requests []*simRequest, replicas [simModels][]int) {
	random := rand.New(rand.NewPCG(24, seed))
	var places []int
	for model := range replicas {
		replicas[model] = random.Perm(simEngines)[:1+model%4]
		for range replicas[model] {
			places = append(places, model)
		}
	}
	for at := time.Duration(0); at < simDuration; {
		at += time.Duration(random.ExpFloat64() * float64(time.Second) / (simPlansPerSecond + simChatsPerSecond))
		r := &simRequest{
			number: int64(len(requests) + 1), node: random.IntN(simNodes), model: places[random.IntN(len(places))],
			arrivedAt: at, lastEventAt: at, chat: random.IntN(simPlansPerSecond+simChatsPerSecond) < simChatsPerSecond, tokens: 600, remainingEvents: 48,
		}
		if !r.chat {
			r.tokens, r.remainingEvents = 3000+random.IntN(12_000), 8
		}
		requests = append(requests, r)
	}
	return requests, replicas
}

// simResult is the result of a strategy.
type simResult struct {
	lateChats, latePlans int
	// busiestRatio is the prefill time of the busiest engine divided by the mean.
	busiestRatio, messagesPerRequest float64
}

// add adds the result of one run, whose ratios count with the given weight.
func (s *simResult) add(b simResult, weight float64) {
	s.lateChats, s.latePlans = s.lateChats+b.lateChats, s.latePlans+b.latePlans
	s.busiestRatio, s.messagesPerRequest = s.busiestRatio+weight*b.busiestRatio, s.messagesPerRequest+weight*b.messagesPerRequest
}

func simulate(placer placementStrategy, seed uint64) simResult {
	requests, replicas := simWorkload(seed)
	p := &simulation{random: rand.New(rand.NewPCG(7, 7)), replicas: replicas, strategy: placer}
	for i := range p.engines {
		p.engines[i] = &simEngine{unreadTokens: map[*simRequest]int{}}
	}
	onEvent := func(r *simRequest, at time.Duration) {
		begins := r.timeToFirstEvent == 0
		if begins {
			r.timeToFirstEvent = at - r.arrivedAt
		}
		r.longestPause = max(r.longestPause, at-r.lastEventAt)
		r.lastEventAt, r.remainingEvents = at, r.remainingEvents-1
		if begins || r.remainingEvents == 0 {
			placer.onEvent(p, r)
		}
	}
	const end = simDuration + 10*time.Second
	for next := 0; p.now < end; p.now += simStep {
		for ; next < len(requests) && requests[next].arrivedAt <= p.now; next++ {
			placer.place(p, requests[next])
		}
		placer.onTick(p)
		for _, e := range p.engines {
			e.advance(p.now, onEvent)
		}
	}
	return p.result(requests)
}

// result counts the late answers. An answer that has not ended is late.
func (p *simulation) result(requests []*simRequest) simResult {
	var got simResult
	for _, r := range requests {
		switch late := r.late() || r.remainingEvents > 0; {
		case late && r.chat:
			got.lateChats++
		case late:
			got.latePlans++
		}
	}
	sum, most := time.Duration(0), time.Duration(0)
	for _, e := range p.engines {
		sum, most = sum+e.prefillTime, max(most, e.prefillTime)
	}
	got.busiestRatio = float64(most) * simEngines / float64(sum)
	got.messagesPerRequest = float64(p.messages) / float64(len(requests))
	return got
}

// simEngineWork returns the description of a request for the dispatcher.
func simEngineWork(p *simulation, r *simRequest) wire.EngineWork {
	w := wire.EngineWork{
		Model: cluster.ModelID(fmt.Sprintf("pool/m%d", r.model)), PromptTokens: r.tokens, OutputTokens: 8 * r.remainingEvents,
		Rank: 1, Objective: simPlanTimeout - (p.now - r.arrivedAt), Left: 10 * time.Second,
	}
	if r.chat {
		w.Rank, w.Objective, w.LongestPause = 0, simChatTimeout-(p.now-r.arrivedAt), simChatTimeout
	}
	return w
}

func simEngineID(engine int) cluster.MachineID {
	return cluster.MachineID(fmt.Sprint("e", engine))
}

func simCandidates(p *simulation, r *simRequest) []wire.EngineCandidate {
	var list []wire.EngineCandidate
	for _, engine := range p.replicas[r.model] {
		list = append(list, wire.EngineCandidate{Machine: simEngineID(engine)})
	}
	return list
}
