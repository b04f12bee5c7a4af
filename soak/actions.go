package soak

import (
	"syscall"
	"time"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/plan"
	"github.com/valveslip/valveslip/soak/proxy"
	"github.com/valveslip/valveslip/standin/fault"
	"github.com/valveslip/valveslip/standin/worker"
)

const (
	// throttledBytesPerSecond is the data rate of a throttled connection in each direction.
	throttledBytesPerSecond = 4 << 10
	// lostAnswerShare is the share of the store's answers that are lost under StoreLose.
	lostAnswerShare = 0.5
)

// inject applies a fault and counts the targets that it affected.
func (r *run) inject(f *plan.Fault) {
	affected := 0
	switch f.Kind {
	case plan.StoreSlow, plan.StoreDown, plan.StoreRefuse, plan.StoreLose, plan.StoreSilence, plan.StoreForget,
		plan.StoreRefuseReleases, plan.StoreLoseReleases:
		r.injectStore(f)
		affected = 1
	case plan.StoreRestore:
		r.restoreStore(f)
		affected = 1
	case plan.RouteAdd:
		r.configuration.add()
		affected = 1
	case plan.RouteRemove:
		r.configuration.remove()
		affected = 1
	case plan.RouteMove:
		r.configuration.move()
		affected = 1
	case plan.ProcessKillAll:
		affected = r.killAll(f)
	default:
		for _, target := range f.Targets {
			if r.injectInto(f, target) {
				affected++
			}
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[f.Kind] += affected
}

// injectInto applies a fault to one target. It returns false if that was not possible, for
// example because the node's process does not run.
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
	case plan.PathHang, plan.PathSilence, plan.PathReset, plan.PathRefuse:
		r.cutOff(target, partitionKinds[f.Kind], f.For)
		return true
	case plan.CallerSkew:
		r.skewCallers(r.nodes[target], f.For)
		return true
	case plan.CallerBurst:
		r.nodes[target].burst(f.Rate, f.For)
		return true
	}
	r.injectWorker(f, r.workers[target])
	return true
}

// workerBehaviours maps kinds of worker faults to what the worker does with requests.
var workerBehaviours = map[plan.Kind]worker.Behaviour{
	plan.WorkerHang: worker.Hang, plan.WorkerCut: worker.CutBody, plan.WorkerCross: worker.AnswerForOtherRequest,
	plan.WorkerReject: worker.Reject, plan.WorkerFail: worker.FailWith500,
	plan.WorkerRejectTwice: worker.RejectTwice, plan.WorkerAnswerTwice: worker.AnswerTwice,
	plan.WorkerRejectNobody: worker.RejectNobody, plan.WorkerEndless: worker.AnswerWithoutEnd,
}

func (r *run) injectWorker(f *plan.Fault, slot *workerSlot) {
	if f.Release != "" {
		slot.withCurrent(func() { slot.nextRelease = f.Release })
	}
	switch f.Kind {
	case plan.WorkerCrash:
		slot.crash(f.For)
	case plan.WorkerRestart:
		slot.restart(f.For)
	case plan.WorkerLateEntry:
		slot.restartUnlisted(f.For, f.Delay)
	case plan.WorkerDrain:
		slot.drain(f.For)
	case plan.WorkerLeave:
		slot.announceLeave(f.For)
	case plan.WorkerShed:
		slot.shedRequests(f.Delay, f.For)
	case plan.WorkerLimit:
		slot.announceLimit(float64(f.Rate), f.For)
	case plan.WorkerBrittle:
		slot.becomeBrittle(f.Rate, f.For)
	case plan.WorkerSilence:
		slot.fallSilent(f.For)
	case plan.WorkerLateOrders:
		slot.delayOrders(f.Delay, f.For)
	default:
		slot.setBehaviour(workerBehaviours[f.Kind], f.For)
	}
}

// storeFaults maps kinds of store faults to the orders for the fault injector of the simulated
// store.
var storeFaults = map[plan.Kind]fault.Order{
	plan.StoreSlow: {Kind: fault.KindSlow}, plan.StoreDown: {Kind: fault.KindDown},
	plan.StoreRefuse: {Kind: fault.KindRefuse}, plan.StoreLose: {Kind: fault.KindLoseAnswer, Probability: lostAnswerShare},
}

// injectStore applies a fault to the store. It counts as a disturbance of all nodes.
func (r *run) injectStore(f *plan.Fault) {
	restored := r.recorder.beginDisturbance(check.Disturbance{Node: check.AllNodes, Scope: check.ScopeStore, From: r.recorder.elapsed()})
	switch f.Kind {
	case plan.StoreForget:
		r.metadata.Compact()
		restored()
		return
	case plan.StoreSilence:
		r.metadata.SetUnresponsive(true)
	case plan.StoreRefuseReleases:
		r.metadata.RefuseWrites(fleet.KeyReleases)
	case plan.StoreLoseReleases:
		r.metadata.LoseWriteAnswers(fleet.KeyReleases)
	default:
		order := storeFaults[f.Kind]
		order.For, order.Delay = fault.Duration(f.For), fault.Duration(f.Delay)
		r.metadata.Inject(order)
	}
	r.undoAfter(f.For, func() {
		if f.Kind == plan.StoreSilence {
			r.metadata.SetUnresponsive(false)
		}
		if f.Kind == plan.StoreRefuseReleases || f.Kind == plan.StoreLoseReleases {
			r.metadata.ClearKeyFault()
		}
		restored()
	})
}

// affectedLink returns the proxy of a link and the disturbance that a fault on it causes.
func (r *run) affectedLink(f *plan.Fault, target int) (*proxy.Proxy, check.Disturbance) {
	disturbance := check.Disturbance{Node: target, From: r.recorder.elapsed()}
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
			// Silent connections affect both ends, so the fault counts as a disturbance of all
			// nodes.
			disturbance.Node = check.AllNodes
		}
		return r.nodes[target].peers, disturbance
	}
	id, _, faulty, _ := r.workers[target].current()
	disturbance.Scope, disturbance.Node, disturbance.Worker = check.ScopeWorker, check.AllNodes, id
	return faulty, disturbance
}

// injectLink applies a fault to the connections of one link.
func (r *run) injectLink(f *plan.Fault, target int) {
	faulty, disturbance := r.affectedLink(f, target)
	restored := r.recorder.beginDisturbance(disturbance)
	if f.For == 0 {
		if f.Kind == plan.LinkReset {
			faulty.Reset()
		} else {
			faulty.Silence()
		}
		r.undoAfter(disturbanceAfter(f.Kind), restored)
		return
	}
	undo := applyLinkFault(f, faulty)
	r.undoAfter(f.For, func() {
		if err := undo(); err != nil {
			r.fail(err)
		}
		restored()
	})
}

// silentConnectionUse is how long a caller may wait for an answer on a silent connection that
// it kept open. Only callers' waits matter to the checks.
const silentConnectionUse = maxDeadline

// disturbanceAfter returns how long a fault without a duration still counts as a disturbance:
// connections that went silent may be in use for that time.
func disturbanceAfter(kind plan.Kind) time.Duration {
	if kind == plan.LinkSilence {
		return silentConnectionUse
	}
	return 0
}

// applyLinkFault changes the state of a proxy according to a fault and returns a function that
// undoes the change.
func applyLinkFault(f *plan.Fault, faulty *proxy.Proxy) func() error {
	if f.Kind == plan.LinkRefuse {
		faulty.Refuse()
		return faulty.Open
	}
	change := func(on bool) func(*proxy.Mode) {
		return func(mode *proxy.Mode) {
			switch f.Kind {
			case plan.LinkDelay:
				mode.Delay = valueIf(on, f.Delay)
			case plan.LinkThrottle:
				mode.BytesPerSecond = valueIf(on, throttledBytesPerSecond)
			case plan.LinkCutRequests:
				mode.HoldRequests = on
			case plan.LinkCutAnswers:
				mode.HoldAnswers = on
			}
		}
	}
	faulty.Change(change(true))
	return func() error {
		faulty.Change(change(false))
		return nil
	}
}

// valueIf returns the value if on is set, and the zero value otherwise.
func valueIf[T any](on bool, value T) T {
	var zero T
	if on {
		return value
	}
	return zero
}
