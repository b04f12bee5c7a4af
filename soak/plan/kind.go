package plan

import "slices"

// Kind names a fault.
type Kind string

// The kinds of faults on links.
const (
	// LinkDelay holds every piece of data back for Delay.
	LinkDelay Kind = "link-delay"
	// LinkReset resets the open connections.
	LinkReset Kind = "link-reset"
	// LinkCutRequests and LinkCutAnswers hold one direction until the fault ends.
	LinkCutRequests Kind = "link-cut-requests"
	LinkCutAnswers  Kind = "link-cut-answers"
	// LinkSilence has the open connections go silent for good; new ones work.
	LinkSilence Kind = "link-silence"
	// LinkThrottle lets few bytes a second pass.
	LinkThrottle Kind = "link-throttle"
	// LinkRefuse closes the listener and resets the open connections.
	LinkRefuse Kind = "link-refuse"
)

// The kinds of faults of processes.
const (
	ProcessStop   Kind = "process-stop"
	ProcessKill   Kind = "process-kill"
	ProcessPause  Kind = "process-pause"
	ProcessHangUp Kind = "process-hang-up"
)

// The kinds that replace programs where a run has an earlier build: ProcessUpgrade stops a node
// as planned and starts the present build in its place, ProcessRollBack the earlier one. Stops
// and kills bring the present build as well.
const (
	ProcessUpgrade  Kind = "process-upgrade"
	ProcessRollBack Kind = "process-roll-back"
)

// CallerBurst has many more callers come to a node for a while. It puts nothing out of order:
// what is promised holds meanwhile.
const CallerBurst Kind = "caller-burst"

// The kinds of faults of the store.
const (
	StoreSlow    Kind = "store-slow"
	StoreDown    Kind = "store-down"
	StoreRefuse  Kind = "store-refuse"
	StoreLose    Kind = "store-lose-answers"
	StoreSilence Kind = "store-silence"
	StoreForget  Kind = "store-forget"
)

// The kinds of changes of the configuration.
const (
	RouteAdd    Kind = "route-add"
	RouteRemove Kind = "route-remove"
	RouteMove   Kind = "route-move"
)

// The kinds of faults of workers.
const (
	WorkerCrash      Kind = "worker-crash"
	WorkerHang       Kind = "worker-hang"
	WorkerCut        Kind = "worker-cut"
	WorkerCross      Kind = "worker-cross"
	WorkerReject     Kind = "worker-reject"
	WorkerFail       Kind = "worker-fail"
	WorkerDrain      Kind = "worker-drain"
	WorkerLateOrders Kind = "worker-late-orders"
	// WorkerRestart ends a worker, which comes back under its id and remembers nothing.
	WorkerRestart Kind = "worker-restart"
	// WorkerLeave has a worker say in its answers alone that it leaves, and in its entry later.
	WorkerLeave Kind = "worker-leave"
	// WorkerShed has a worker turn all requests away and ask for Delay of rest.
	WorkerShed Kind = "worker-shed"
	// WorkerLimit has a worker name a limit of Rate requests a second in its answers.
	WorkerLimit Kind = "worker-limit"
)

// Link names the connections that a fault strikes.
type Link string

// The links. Those to workers are struck by worker, all others by node.
const (
	LinkCaller Link = "caller"
	LinkStore  Link = "store"
	LinkPeer   Link = "peer"
	LinkWorker Link = "worker"
)

// class says what a kind's targets are and how long it lasts.
type class uint8

const (
	onLink class = iota
	onNodes
	onStore
	onConfiguration
	onWorkers
)

// kindOf describes one kind of fault.
type kindOf struct {
	class class
	// weight is how often the kind is drawn.
	weight int
	// lasts is set where a fault has a length.
	lasts bool
}

// kinds are all kinds in the order in which they are drawn.
var kinds = []struct {
	Kind
	kindOf
}{
	{LinkDelay, kindOf{onLink, 3, true}},
	{LinkReset, kindOf{onLink, 4, false}},
	{LinkCutRequests, kindOf{onLink, 3, true}},
	{LinkCutAnswers, kindOf{onLink, 3, true}},
	{LinkSilence, kindOf{onLink, 8, false}},
	{LinkThrottle, kindOf{onLink, 2, true}},
	{LinkRefuse, kindOf{onLink, 3, true}},
	{ProcessStop, kindOf{onNodes, 11, true}},
	{ProcessKill, kindOf{onNodes, 5, true}},
	{ProcessPause, kindOf{onNodes, 6, true}},
	{ProcessHangUp, kindOf{onNodes, 4, false}},
	{StoreSlow, kindOf{onStore, 2, true}},
	{StoreDown, kindOf{onStore, 2, true}},
	{StoreRefuse, kindOf{onStore, 1, true}},
	{StoreLose, kindOf{onStore, 2, true}},
	{StoreSilence, kindOf{onStore, 2, true}},
	{StoreForget, kindOf{onStore, 3, false}},
	{RouteAdd, kindOf{onConfiguration, 4, false}},
	{RouteRemove, kindOf{onConfiguration, 4, false}},
	{RouteMove, kindOf{onConfiguration, 4, false}},
	{WorkerCrash, kindOf{onWorkers, 4, true}},
	{WorkerHang, kindOf{onWorkers, 2, true}},
	{WorkerCut, kindOf{onWorkers, 2, true}},
	{WorkerCross, kindOf{onWorkers, 2, true}},
	{WorkerReject, kindOf{onWorkers, 2, true}},
	{WorkerFail, kindOf{onWorkers, 1, true}},
	{WorkerDrain, kindOf{onWorkers, 4, true}},
	{WorkerLateOrders, kindOf{onWorkers, 3, true}},
}

// laterKinds are drawn beside the others, by draws of their own: the seeds' other faults stay
// what they were.
var laterKinds = []struct {
	Kind
	kindOf
}{
	{CallerBurst, kindOf{onNodes, 1, true}},
	{ProcessUpgrade, kindOf{onNodes, 0, true}},
	{ProcessRollBack, kindOf{onNodes, 0, true}},
	{WorkerRestart, kindOf{onWorkers, 0, true}},
	{WorkerLimit, kindOf{onWorkers, 0, true}},
	{WorkerLeave, kindOf{onWorkers, 0, true}},
	{WorkerShed, kindOf{onWorkers, 0, true}},
}

// describe returns what is known of a kind.
func describe(kind Kind) (kindOf, bool) {
	for _, known := range slices.Concat(kinds, laterKinds) {
		if known.Kind == kind {
			return known.kindOf, true
		}
	}
	return kindOf{}, false
}

// Kinds lists all kinds of faults.
func Kinds() []Kind {
	names := make([]Kind, 0, len(kinds)+len(laterKinds))
	for _, known := range slices.Concat(kinds, laterKinds) {
		names = append(names, known.Kind)
	}
	return names
}

// links are the links that faults strike.
var links = []Link{LinkCaller, LinkStore, LinkPeer, LinkWorker}
