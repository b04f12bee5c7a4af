package prefixes

import (
	"fmt"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/binaryheap"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/affinity"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
	"github.com/valveslip/valveslip/wire"
)

const (
	model = cluster.ModelID("chat")
	zone  = cluster.ZoneID("z1")
	// hop is the time of a message between router and engine.
	hop = time.Millisecond
	// statusInterval of the cell's status; its loads are as old.
	statusInterval = time.Second
	// maxPrefixes is how many blocks of a prompt a router looks at.
	maxPrefixes = 32
)

var epoch = time.Date(2026, 3, 1, 18, 0, 0, 0, time.UTC)

// world is one run.
type world struct {
	options Options
	now     int64
	queue   binaryheap.Heap[scheduled]
	pushed  uint64
	routers []*routing.Router
	engines []*engine
	// leaving are the machines whose end was announced.
	leaving []*engine
	byID    map[cluster.MachineID]*engine
	turns   map[cluster.RequestID]*turn
	callers *callers
	news    *news
	status  uint64
	// replacedAt is when machines were replaced, zero before.
	replacedAt int64
	measured   measured
}

// Run plays one way and returns what it measured.
func Run(options Options) Result {
	options = options.withDefaults()
	w := &world{
		options: options, now: epoch.UnixNano(), byID: map[cluster.MachineID]*engine{}, turns: map[cluster.RequestID]*turn{},
	}
	w.callers = newCallers(w, options.Seed)
	w.news = &news{world: w, ledger: affinity.NewLedger(relayedPrefixes), sequences: map[cluster.MachineID]uint64{}}
	for i := range options.Machines {
		w.addEngine(fmt.Sprintf("m%02d", i))
	}
	for i := range options.Routers {
		w.routers = append(w.routers, w.router(i))
	}
	w.publishStatus()
	w.callers.next()
	w.tick()
	w.news.tick()
	for i := range options.Leaves {
		w.after(options.Warm+options.Length/2, func() { w.replace(i) })
	}
	end := w.now + int64(options.Warm+options.Length)
	for w.queue.Len() > 0 && w.queue.First().at <= end {
		next := w.queue.Pop()
		w.now = next.at
		next.run()
	}
	return w.result()
}

// noMemory is a strength of own dispatches below what counts.
const noMemory = 1e-9

func (w *world) router(number int) *routing.Router {
	config := routing.Config{Zone: zone, ExpectedRouters: w.options.Routers, PrefixBlockTime: w.options.PrefixBlockTime}
	if w.options.Way == WayNone {
		config.Affinity.SentStrength = noMemory
	}
	router := routing.New(config, w.options.Seed*1000+uint64(number))
	policy := settings.Policy{
		QueueLength: 10000, QueueBytes: 1 << 30, QueueTime: time.Minute, Deadline: 5 * time.Minute, RetryAttempts: 3, Version: "v1",
	}
	served := settings.Model{ID: model, Kind: settings.KindModel, Path: "/team/chat", Team: "/team", Policy: policy}
	snapshot := settings.NewSnapshot(settings.Stamp{History: "h", Revision: 1}, []settings.Model{served}, nil, nil)
	router.Step(w.time(), routing.SettingsChanged{Snapshot: snapshot})
	return router
}

func (w *world) time() time.Time { return time.Unix(0, w.now) }

func (w *world) addEngine(id string) {
	added := newEngine(w, cluster.MachineID(id))
	w.engines = append(w.engines, added)
	w.byID[added.id] = added
}

// notice is how long a machine stays after its leaving is announced. Its
// replacement is loaded from the beginning of it.
const notice = 10 * time.Second

// replace announces the end of a machine and puts an empty one in its place.
func (w *world) replace(place int) {
	old := w.engines[place]
	added := newEngine(w, old.id+"-next")
	w.leaving = append(w.leaving, old)
	w.engines[place] = added
	w.byID[added.id] = added
	w.replacedAt = w.now
	if w.options.MoveCaches {
		w.after(statusInterval+hop, func() { w.move(old, added) })
	}
	w.after(notice, func() {
		old.gone = true
		w.leaving = slices.DeleteFunc(w.leaving, func(e *engine) bool { return e == old })
	})
}

// move gives a replacement the cache of the machine before it, and tells the
// routers.
func (w *world) move(from, to *engine) {
	for element := from.order.Front(); element != nil; element = element.Next() {
		to.insert([]uint64{element.Value.(uint64)})
	}
	for i := range w.routers {
		w.step(i, routing.CacheMoved{Model: model, From: from.id, To: to.id})
	}
}

// publishStatus tells all routers what is loaded, and loads a second old.
func (w *world) publishStatus() {
	w.status++
	status := wire.CellStatus{Zone: zone, Token: 1, Sequence: w.status, Full: true}
	for _, e := range w.engines {
		status.Replicas = append(status.Replicas, e.record(false))
		status.Loads = append(status.Loads, wire.MachineLoad{Machine: e.id, Running: e.reported, Age: statusInterval})
		e.reported = e.running
	}
	for _, e := range w.leaving {
		status.Replicas = append(status.Replicas, e.record(true))
	}
	for i := range w.routers {
		w.step(i, routing.CellStatusChanged{Status: status})
	}
	w.after(statusInterval, w.publishStatus)
}

// tickInterval of all routers.
const tickInterval = 20 * time.Millisecond

func (w *world) tick() {
	for i := range w.routers {
		if next, due := w.routers[i].NextDeadline(); due && next.UnixNano() <= w.now {
			w.step(i, routing.Tick{})
		}
	}
	w.after(tickInterval, w.tick)
}

// send brings a turn to its router.
func (w *world) send(t *turn) {
	t.arrived = w.now
	id := cluster.RequestID(t.id)
	w.turns[id] = t
	request := routing.Request{ID: id, Model: model, TokenPath: "/team", Team: "/team"}
	if w.options.Way != WayNone {
		request.Prefixes = t.blocks[:min(len(t.blocks), maxPrefixes)]
	}
	w.news.prefer(t.router, request.Prefixes)
	w.step(t.router, routing.RequestArrived{Request: request})
}

// step feeds a router and carries out its effects.
func (w *world) step(number int, event routing.Event) {
	effects := slices.Clone(w.routers[number].Step(w.time(), event))
	for _, effect := range effects {
		switch e := effect.(type) {
		case routing.Dispatch:
			w.dispatch(number, e)
		case routing.Finish:
			if e.Failure != nil {
				w.measured.failed++
			}
			delete(w.turns, e.Request)
		}
	}
}

func (w *world) dispatch(number int, dispatch routing.Dispatch) {
	t := w.turns[dispatch.Request]
	w.after(hop, func() {
		started := run{turn: t, attempt: dispatch.Attempt, router: number}
		at := w.byID[dispatch.Machine]
		if at.accept(started) {
			return
		}
		w.measured.refusals++
		w.after(hop, func() {
			w.step(number, routing.AttemptEnded{
				Request: dispatch.Request, Attempt: dispatch.Attempt, EngineFull: !at.gone, ModelMissing: at.gone,
				Failure: verdict.New(verdict.NotRun, verdict.CodeEngineFailed, "no slot"),
			})
		})
	})
}

func (w *world) firstToken(r run) {
	w.step(r.router, routing.FirstByteSent{Request: cluster.RequestID(r.turn.id)})
	if w.warm() {
		first := time.Duration(w.now-r.turn.arrived) + hop
		w.measured.first = append(w.measured.first, first)
		if w.replacedAt != 0 && r.turn.arrived-w.replacedAt < int64(aftermath) && r.turn.arrived >= w.replacedAt {
			w.measured.after = append(w.measured.after, first)
		}
	}
}

func (w *world) ended(r run) {
	w.after(hop, func() {
		w.step(r.router, routing.AttemptEnded{Request: cluster.RequestID(r.turn.id), Attempt: r.attempt, Tokens: r.turn.tokens})
	})
}

// warm reports whether the part that counts has begun.
func (w *world) warm() bool { return w.now-epoch.UnixNano() >= int64(w.options.Warm) }

// after schedules work.
func (w *world) after(wait time.Duration, do func()) {
	w.pushed++
	w.queue.Push(scheduled{at: w.now + int64(wait), order: w.pushed, run: do})
}

// scheduled is work to do at a time.
type scheduled struct {
	at    int64
	order uint64
	run   func()
}

// Before implements binaryheap.Element: by time, then by order of scheduling.
func (s scheduled) Before(other scheduled) bool {
	return s.at < other.at || s.at == other.at && s.order < other.order
}

// Moved implements binaryheap.Element; what is scheduled is never moved.
func (s scheduled) Moved(int) {}
