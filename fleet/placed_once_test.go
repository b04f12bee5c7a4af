package fleet

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

// oncePlay plays nodes of which one places the attempts of all. Messages between them are lost, late and
// doubled, nodes stand still, and others take a node that goes on for gone.
type oncePlay struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	nodes  []*onceNode
	// pending are the deliveries and outcomes that are due later.
	pending []pendingStep
	// requests are all requests by ID.
	requests map[cluster.RequestID]*onceRequest
	// sends, resent and refused count the sends, those after a rejection, and the refusals that promise no run.
	sends, resent, refused, freezes, departures int
}

type onceNode struct {
	core        *Core
	entry       NodeEntry
	frozenUntil time.Time
	frozenAt    time.Time
	waiting     []Event
}

type pendingStep struct {
	at    time.Time
	node  *onceNode
	event Event
}

// onceRequest is what has become of a request that may run once.
type onceRequest struct {
	// attempt is the last send unless the node knows that it was rejected; zero without one.
	attempt                        cluster.Attempt
	rejected, ended, promisedNoRun bool
}

func newOncePlay(t *testing.T, seed uint64) *oncePlay {
	p := &oncePlay{t: t, random: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(1_000_000, 0), requests: map[cluster.RequestID]*onceRequest{}}
	for i := range 3 {
		name := fmt.Sprint("n", i)
		entry := NodeEntry{ID: cluster.NodeID(name), Machine: "machine-" + name, Address: name, Zone: "z", Capacity: float64(1 + i)}
		p.nodes = append(p.nodes, &onceNode{entry: entry, core: New(Config{
			Self: entry, Zone: "z", Regions: map[cluster.ZoneID]cluster.RegionID{"z": "r"}, FirstStart: true, Dispatching: true,
			Routing: routing.Config{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetryExtra: 3000},
		}, seed)})
	}
	compiled, err := (&catalog.Configuration{Version: 1, Services: []catalog.Service{{
		Name: "p", Engine: &catalog.Engine{Slots: 64, MemoryBytes: 100, AdapterSlots: 2, CacheTokens: 200_000, Models: []catalog.ModelSpec{{Name: "m", Bytes: 10}}},
	}}}).Compile()
	if err != nil {
		t.Fatal(err)
	}
	for _, n := range p.nodes {
		p.step(n, ConfigurationRead{Compiled: compiled})
		p.step(n, NodesRead{Nodes: p.entries(), Full: true})
		p.step(n, ReleasesRead{Record: ReleaseRecord{Services: map[string][]string{"p": {""}}, Complete: true}, Revision: 1})
		p.step(n, p.engines())
		p.step(n, StoreSynced{})
	}
	return p
}

func (p *oncePlay) entries() []NodeEntry {
	var entries []NodeEntry
	for _, n := range p.nodes {
		entries = append(entries, n.entry)
	}
	return entries
}

func (p *oncePlay) engines() WorkersRead {
	var read WorkersRead
	for _, id := range []cluster.MachineID{"e1", "e2"} {
		read.Workers = append(read.Workers, catalog.Worker{
			ID: id, Service: "p", Address: string(id), Zone: "z", Slots: 64, LoadedModels: []catalog.LoadedModel{{Name: "m"}},
		})
	}
	return read
}

// step hands an event to a node, or keeps it until the node goes on.
func (p *oncePlay) step(n *onceNode, event Event) {
	if p.now.Before(n.frozenUntil) {
		n.waiting = append(n.waiting, event)
		return
	}
	if input, routed := event.(RoutingInput); routed {
		p.noteRejection(input.Event)
	}
	for _, effect := range slices.Clone(n.core.Step(p.now, event)) {
		switch e := effect.(type) {
		case SendMessage:
			p.deliver(e.Address, e.Message)
		case RoutingOutput:
			switch routed := e.Effect.(type) {
			case routing.Dispatch:
				p.sent(n, &routed)
			case routing.Finish:
				p.finished(&routed)
			}
		}
	}
}

// noteRejection notes that a node learns that a send was rejected.
func (p *oncePlay) noteRejection(event routing.Event) {
	ended, is := event.(routing.AttemptEnded)
	if !is || ended.Failure == nil || ended.Failure.Verdict != verdict.NotRun {
		return
	}
	if r := p.requests[ended.Request]; r.attempt == ended.Attempt {
		r.attempt, r.rejected = 0, true
	}
}

// deliver sends a message to a node: of 20 messages two are lost, four doubled, and each is up to 120 ms late.
func (p *oncePlay) deliver(address string, message wire.Message) {
	i := slices.IndexFunc(p.nodes, func(n *onceNode) bool { return n.entry.Address == address })
	if i < 0 {
		return
	}
	copies := 1
	switch draw := p.random.IntN(20); {
	case draw < 2:
		copies = 0
	case draw < 6:
		copies = 2
	}
	for range copies {
		p.later(time.Duration(p.random.IntN(120))*time.Millisecond, p.nodes[i], MessageReceived{Message: message})
	}
}

func (p *oncePlay) later(d time.Duration, n *onceNode, event Event) {
	p.pending = append(p.pending, pendingStep{p.now.Add(d), n, event})
}

// sent checks a send and draws its outcome: of ten, four are rejected, four run, one fails after it may have run, and one hangs.
func (p *oncePlay) sent(n *onceNode, d *routing.Dispatch) {
	r := p.requests[d.Request]
	p.sends++
	switch {
	case r.attempt != 0:
		p.t.Errorf("%s is sent as attempt %d although attempt %d was not rejected", d.Request, d.Attempt, r.attempt)
	case r.ended:
		p.t.Errorf("%s is sent as attempt %d after it ended, promised not to run: %t", d.Request, d.Attempt, r.promisedNoRun)
	}
	if r.rejected {
		p.resent++
	}
	r.attempt = d.Attempt
	ended := routing.AttemptEnded{Request: d.Request, Attempt: d.Attempt}
	after := time.Duration(p.random.IntN(400)) * time.Millisecond
	switch draw := p.random.IntN(10); {
	case draw < 4:
		ended.Failure, ended.EngineFull = verdict.New(verdict.NotRun, verdict.CodeEngineRefused, "full"), true
		after /= 10
	case draw < 8:
	case draw < 9:
		ended.Failure = verdict.New(verdict.MayHaveRun, verdict.CodeEngineFailed, "reset")
	default:
		return
	}
	p.later(after, n, RoutingInput{Event: ended})
}

// finished checks the end of a request.
func (p *oncePlay) finished(f *routing.Finish) {
	r := p.requests[f.Request]
	r.ended = true
	if f.Failure != nil && f.Failure.Verdict == verdict.NotRun {
		r.promisedNoRun = true
		p.refused++
		if r.attempt != 0 {
			p.t.Errorf("%s is refused as not run (%s) while attempt %d was not rejected", f.Request, f.Failure.Message, r.attempt)
		}
	}
}

// arrive sends a request that may run once to a node.
func (p *oncePlay) arrive(number int) {
	id := cluster.RequestID(fmt.Sprint("r", number))
	n := p.nodes[p.random.IntN(len(p.nodes))]
	deadline := p.now.Add(time.Duration(50+p.random.IntN(3000)) * time.Millisecond)
	p.requests[id] = &onceRequest{}
	p.step(n, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: id, Model: "p/m", TokenPath: "/", Deadline: deadline, Objective: 500 * time.Millisecond, Attempts: 1,
		PromptTokens: 100 + p.random.IntN(9000), MaxTokens: 60, LongestPause: 500 * time.Millisecond,
	}}})
	switch p.random.IntN(12) {
	case 0:
		p.later(time.Duration(p.random.IntN(500))*time.Millisecond, n, RoutingInput{Event: routing.CallerGone{Request: id}})
	case 1:
		p.later(time.Duration(p.random.IntN(500))*time.Millisecond, n, RoutingInput{Event: routing.AttemptSilent{Request: id, Attempt: 1}})
	}
}

// freeze stops a node for 10 to 260 ms. It learns of it only if it stood still for longer than 150 ms.
func (p *oncePlay) freeze() {
	n := p.nodes[p.random.IntN(len(p.nodes))]
	if p.now.Before(n.frozenUntil) {
		return
	}
	p.freezes++
	n.frozenAt, n.frozenUntil = p.now, p.now.Add(time.Duration(10+p.random.IntN(250))*time.Millisecond)
}

// thaw lets the nodes go on whose pause is over.
func (p *oncePlay) thaw() {
	for _, n := range p.nodes {
		if n.frozenAt.IsZero() || p.now.Before(n.frozenUntil) {
			continue
		}
		slept := n.frozenUntil.Sub(n.frozenAt)
		n.frozenAt = time.Time{}
		if slept > 150*time.Millisecond {
			p.step(n, Paused{For: slept})
			p.later(time.Duration(p.random.IntN(60))*time.Millisecond, n, StoreSynced{})
		}
		waiting := n.waiting
		n.waiting = nil
		for _, event := range waiting {
			p.step(n, event)
		}
	}
}

// depart makes the other nodes take one for gone for a while. It goes on, also as the dispatcher of those that still ask it.
func (p *oncePlay) depart() {
	gone := p.nodes[p.random.IntN(len(p.nodes))]
	p.departures++
	for _, n := range p.nodes {
		if n != gone {
			p.later(time.Duration(p.random.IntN(300))*time.Millisecond, n, NodesRead{Gone: []cluster.NodeID{gone.entry.ID}})
			p.later(time.Duration(300+p.random.IntN(300))*time.Millisecond, n, NodesRead{Nodes: []NodeEntry{gone.entry}})
		}
	}
}

// advance moves the clock forward by 1 ms.
func (p *oncePlay) advance() {
	p.now = p.now.Add(time.Millisecond)
	p.thaw()
	var due []pendingStep
	p.pending = slices.DeleteFunc(p.pending, func(s pendingStep) bool {
		if s.at.After(p.now) {
			return false
		}
		due = append(due, s)
		return true
	})
	for _, s := range due {
		p.step(s.node, s.event)
	}
	for _, n := range p.nodes {
		if !p.now.Before(n.frozenUntil) {
			p.step(n, Tick{})
		}
	}
}

// TestPlacedRequestIsSentOnce guards against a request that may run once and is sent while an earlier send was not
// rejected, or is refused as not run then, at nodes whose attempts another one places: after a pause of either, a change of that
// node, or lost, late or doubled messages.
func TestPlacedRequestIsSentOnce(t *testing.T) {
	var sends, resent, refused int
	for seed := uint64(1); seed <= 20; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			p := newOncePlay(t, seed)
			number := 0
			for ms := range 6000 {
				if p.random.IntN(10) == 0 {
					number++
					p.arrive(number)
				}
				if ms%30 == 0 {
					p.freeze()
				}
				if ms%700 == 350 {
					p.depart()
				}
				if ms == 5500 && seed%3 == 0 {
					p.step(p.nodes[2], DrainStarted{})
				}
				p.advance()
			}
			for range 5000 {
				p.advance()
			}
			for id, r := range p.requests {
				if !r.ended {
					t.Errorf("%s never ended", id)
				}
			}
			sends, resent, refused = sends+p.sends, resent+p.resent, refused+p.refused
			t.Logf("%d requests, %d sends, %d after a rejection, %d refused as not run, %d freezes, %d departures", number, p.sends, p.resent, p.refused, p.freezes, p.departures)
		})
	}
	if sends == 0 || resent == 0 || refused == 0 {
		t.Errorf("%d sends, %d after a rejection, %d refusals: the play lacks what it is about", sends, resent, refused)
	}
}
