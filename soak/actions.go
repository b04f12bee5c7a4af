package soak

import (
	"syscall"
	"time"

	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/plan"
	"github.com/valveslip/valveslip/soak/proxy"
	"github.com/valveslip/valveslip/standin/fault"
	"github.com/valveslip/valveslip/standin/worker"
)

const (
	// throttled is how many bytes a second pass a throttled connection.
	throttled = 4 << 10
	// loseShare of the store's answers are lost.
	loseShare = 0.5
)

// inject carries a fault out and counts where it struck.
func (r *run) inject(f *plan.Fault) {
	struck := 0
	switch f.Kind {
	case plan.StoreSlow, plan.StoreDown, plan.StoreRefuse, plan.StoreLose, plan.StoreSilence, plan.StoreForget:
		r.injectStore(f)
		struck = 1
	case plan.RouteAdd:
		r.configuration.add()
		struck = 1
	case plan.RouteRemove:
		r.configuration.remove()
		struck = 1
	case plan.RouteMove:
		r.configuration.move()
		struck = 1
	default:
		for _, target := range f.Targets {
			if r.injectInto(f, target) {
				struck++
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[f.Kind] += struck
}

// injectInto carries a fault out on one target; false when it could not be.
func (r *run) injectInto(f *plan.Fault, target int) bool {
	if f.Link != "" {
		r.injectLink(f, target)
		return true
	}
	switch f.Kind {
	case plan.ProcessStop:
		return r.nodes[target].end(syscall.SIGTERM, f.For)
	case plan.ProcessKill:
		return r.nodes[target].end(syscall.SIGKILL, f.For)
	case plan.ProcessUpgrade:
		return r.nodes[target].replace(false, f.For)
	case plan.ProcessRollBack:
		return r.nodes[target].replace(true, f.For)
	case plan.ProcessPause:
		return r.nodes[target].pause(f.For)
	case plan.ProcessHangUp:
		return r.nodes[target].signal(syscall.SIGHUP)
	case plan.CallerBurst:
		r.nodes[target].burst(f.Rate, f.For)
		return true
	}
	r.injectWorker(f, r.workers[target])
	return true
}

// workerBehaviours are what workers do to requests under a fault.
var workerBehaviours = map[plan.Kind]worker.Behaviour{
	plan.WorkerHang: worker.Hang, plan.WorkerCut: worker.CutBody, plan.WorkerCross: worker.Cross,
	plan.WorkerReject: worker.Reject, plan.WorkerFail: worker.FailWith500,
}

func (r *run) injectWorker(f *plan.Fault, slot *workerSlot) {
	switch f.Kind {
	case plan.WorkerCrash:
		slot.crash(f.For)
	case plan.WorkerRestart:
		slot.restart(f.For)
	case plan.WorkerDrain:
		slot.drain(f.For)
	case plan.WorkerLeave:
		slot.leave(f.For)
	case plan.WorkerShed:
		slot.shed(f.Delay, f.For)
	case plan.WorkerLimit:
		slot.limit(float64(f.Rate), f.For)
	case plan.WorkerLateOrders:
		slot.delayOrders(f.Delay, f.For)
	default:
		slot.misbehave(workerBehaviours[f.Kind], f.For)
	}
}

// storeFaults are the store's faults that its injector knows.
var storeFaults = map[plan.Kind]fault.Order{
	plan.StoreSlow: {Kind: fault.KindSlow}, plan.StoreDown: {Kind: fault.KindDown},
	plan.StoreRefuse: {Kind: fault.KindRefuse}, plan.StoreLose: {Kind: fault.KindLoseAnswer, Probability: loseShare},
}

// injectStore strikes the store, which concerns all nodes.
func (r *run) injectStore(f *plan.Fault) {
	restored := r.recorder.disturb(check.Disturbance{Node: check.AllNodes, Scope: check.ScopeStore, From: r.recorder.now()})
	switch f.Kind {
	case plan.StoreForget:
		r.metadata.Forget()
		restored()
		return
	case plan.StoreSilence:
		r.metadata.SetSilent(true)
	default:
		order := storeFaults[f.Kind]
		order.For, order.Delay = fault.Duration(f.For), fault.Duration(f.Delay)
		r.metadata.Inject(order)
	}
	r.later(f.For, func() {
		if f.Kind == plan.StoreSilence {
			r.metadata.SetSilent(false)
		}
		restored()
	})
}

// struckLink returns the proxy of a link and what its faults disturb.
func (r *run) struckLink(f *plan.Fault, target int) (*proxy.Proxy, check.Disturbance) {
	disturbance := check.Disturbance{Node: target, From: r.recorder.now()}
	switch f.Link {
	case plan.LinkCaller:
		disturbance.Scope = check.ScopeCaller
		return r.nodes[target].callers, disturbance
	case plan.LinkStore:
		disturbance.Scope = check.ScopeStore
		return r.nodes[target].store, disturbance
	case plan.LinkPeer:
		disturbance.Scope = check.ScopePeer
		if f.Kind == plan.LinkSilence {
			// Connections that go silent count as a reset of the connections of all nodes.
			disturbance.Node = check.AllNodes
		}
		return r.nodes[target].peers, disturbance
	}
	id, _, struck, _ := r.workers[target].present()
	disturbance.Scope, disturbance.Node, disturbance.Worker = check.ScopeWorker, check.AllNodes, id
	return struck, disturbance
}

// injectLink strikes the connections of one link.
func (r *run) injectLink(f *plan.Fault, target int) {
	struck, disturbance := r.struckLink(f, target)
	restored := r.recorder.disturb(disturbance)
	if f.For == 0 {
		if f.Kind == plan.LinkReset {
			struck.Reset()
		} else {
			struck.Silence()
		}
		r.later(silenceNoticed(f.Kind), restored)
		return
	}
	undo := strike(f, struck)
	r.later(f.For, func() {
		if err := undo(); err != nil {
			r.fail(err)
		}
		restored()
	})
}

// silentCall is how long a call on a silent connection may be waited for by whoever
// is judged: callers that kept theirs.
const silentCall = maxDeadline

// silenceNoticed is how long connections that went silent may be in use.
func silenceNoticed(kind plan.Kind) time.Duration {
	if kind == plan.LinkSilence {
		return silentCall
	}
	return 0
}

// strike changes a link and returns what changes it back.
func strike(f *plan.Fault, struck *proxy.Proxy) func() error {
	if f.Kind == plan.LinkRefuse {
		struck.Refuse()
		return struck.Open
	}
	change := func(on bool) func(*proxy.Mode) {
		return func(mode *proxy.Mode) {
			switch f.Kind {
			case plan.LinkDelay:
				mode.Delay = valueIf(on, f.Delay)
			case plan.LinkThrottle:
				mode.BytesPerSecond = valueIf(on, throttled)
			case plan.LinkCutRequests:
				mode.HoldRequests = on
			case plan.LinkCutAnswers:
				mode.HoldAnswers = on
			}
		}
	}
	struck.Change(change(true))
	return func() error {
		struck.Change(change(false))
		return nil
	}
}

// valueIf is the value when it is on, zero otherwise.
func valueIf[T any](on bool, value T) T {
	var zero T
	if on {
		return value
	}
	return zero
}
