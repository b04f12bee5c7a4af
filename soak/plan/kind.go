package plan

import "slices"

// Kind names a kind of fault.
type Kind string

// The kinds of faults on links.
const (
	// LinkDelay delays all data by Fault.Delay.
	LinkDelay Kind = "link-delay"
	// LinkReset resets the open connections.
	LinkReset Kind = "link-reset"
	// LinkCutRequests and LinkCutAnswers hold back the data of one direction until the
	// fault ends.
	LinkCutRequests Kind = "link-cut-requests"
	LinkCutAnswers  Kind = "link-cut-answers"
	// LinkSilence makes the open connections silent permanently; new connections work.
	LinkSilence Kind = "link-silence"
	// LinkThrottle limits the link to a few bytes per second.
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
	// ProcessKillAll kills all nodes, whose kills are spread evenly over Fault.Delay. All start again Fault.For
	// later.
	ProcessKillAll Kind = "process-kill-all"
)

// The kinds that cut nodes off from all workers, while callers, the store and other nodes reach them.
const (
	// PathHang drops all packets between the node and workers.
	PathHang Kind = "path-hang"
	// PathSilence drops all packets on open connections; new ones come up and fall silent.
	PathSilence Kind = "path-silence"
	// PathReset resets open and new connections.
	PathReset Kind = "path-reset"
	// PathRefuse resets new connections and leaves open ones alone.
	PathRefuse Kind = "path-refuse"
)

// pathKinds are the kinds above.
var pathKinds = []Kind{PathHang, PathSilence, PathReset, PathRefuse}

// The kinds that replace the program of a node in a run with an earlier build. ProcessUpgrade
// performs a planned stop and starts the current build in its place; ProcessRollBack starts the
// earlier one. A node that is restarted after a stop or kill also gets the current build.
const (
	ProcessUpgrade  Kind = "process-upgrade"
	ProcessRollBack Kind = "process-roll-back"
)

// CallerBurst sends many more calls than usual to a node for a while. It breaks nothing, so all
// promises must hold during the burst.
const CallerBurst Kind = "caller-burst"

// CallerSkew sends most calls of all callers, each on a new connection, to one node for a while, as an entry does
// that hands all new connections of a zone to it. It breaks nothing.
const CallerSkew Kind = "caller-skew"

// The kinds of faults of the store.
const (
	StoreSlow    Kind = "store-slow"
	StoreDown    Kind = "store-down"
	StoreRefuse  Kind = "store-refuse"
	StoreLose    Kind = "store-lose-answers"
	StoreSilence Kind = "store-silence"
	StoreForget  Kind = "store-forget"
	// StoreRestore copies the store. After Fault.Delay the store goes away, and after Fault.For it comes
	// back from the copy. What the operator and the workers wrote is then written again.
	StoreRestore Kind = "store-restore"
	// StoreRefuseReleases refuses the writes of the record of the workers' releases, StoreLoseReleases executes them
	// without an answer.
	StoreRefuseReleases Kind = "store-refuse-releases"
	StoreLoseReleases   Kind = "store-lose-releases"
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
	// WorkerRestart ends a worker, which starts again under the same id without its state.
	WorkerRestart Kind = "worker-restart"
	// WorkerLateEntry ends a worker, which starts again under the same id with another software version, if
	// there are several, and with the models that it held. It writes its entry only Fault.Delay later.
	WorkerLateEntry Kind = "worker-late-entry"
	// WorkerLeave makes a worker announce in its answers that it leaves, and only later in its
	// store entry.
	WorkerLeave Kind = "worker-leave"
	// WorkerShed makes a worker reject all requests and ask for a back-off of Fault.Delay.
	WorkerShed Kind = "worker-shed"
	// WorkerLimit makes a worker announce a limit of Fault.Rate requests per second in its
	// answers.
	WorkerLimit Kind = "worker-limit"
	// WorkerBrittle makes the workers of a service announce that they fall if they have to turn more
	// than Fault.Rate requests away within a second, and do so from brittleDelay on.
	WorkerBrittle Kind = "worker-brittle"
	// WorkerSilence makes a worker deliver and take nothing for about a second, and then go on. It is
	// sound, so nothing that happens meanwhile is excused.
	WorkerSilence Kind = "worker-silence"
	// WorkerRejectTwice makes a worker reject requests and send each rejection a second time, WorkerAnswerTwice do so
	// with answers, and WorkerRejectNobody send rejections that name no request besides its answers.
	WorkerRejectTwice  Kind = "worker-reject-twice"
	WorkerAnswerTwice  Kind = "worker-answer-twice"
	WorkerRejectNobody Kind = "worker-reject-nobody"
	// WorkerEndless makes a worker write without end until the caller closes.
	WorkerEndless Kind = "worker-endless"
)

// Link names the group of connections that a fault affects.
type Link string

// The links. Targets of a fault on LinkWorker are workers; on all other links they are nodes.
const (
	LinkCaller Link = "caller"
	LinkStore  Link = "store"
	LinkPeer   Link = "peer"
	LinkWorker Link = "worker"
)

// targetClass says what the faults of a kind apply to.
type targetClass uint8

const (
	onLink targetClass = iota
	onNodes
	onStore
	onConfiguration
	onWorkers
)

// kindProperties describes how faults of one kind are drawn.
type kindProperties struct {
	class targetClass
	// weight is the relative frequency of the kind among weighted draws.
	weight int
	// hasDuration is set for faults with a duration.
	hasDuration bool
}

// kinds are the kinds that are drawn by weight. Their order and weights determine the
// schedule of a seed.
var kinds = []struct {
	Kind
	kindProperties
}{
	{LinkDelay, kindProperties{onLink, 3, true}},
	{LinkReset, kindProperties{onLink, 4, false}},
	{LinkCutRequests, kindProperties{onLink, 3, true}},
	{LinkCutAnswers, kindProperties{onLink, 3, true}},
	{LinkSilence, kindProperties{onLink, 8, false}},
	{LinkThrottle, kindProperties{onLink, 2, true}},
	{LinkRefuse, kindProperties{onLink, 3, true}},
	{ProcessStop, kindProperties{onNodes, 11, true}},
	{ProcessKill, kindProperties{onNodes, 5, true}},
	{ProcessPause, kindProperties{onNodes, 6, true}},
	{ProcessHangUp, kindProperties{onNodes, 4, false}},
	{StoreSlow, kindProperties{onStore, 2, true}},
	{StoreDown, kindProperties{onStore, 2, true}},
	{StoreRefuse, kindProperties{onStore, 1, true}},
	{StoreLose, kindProperties{onStore, 2, true}},
	{StoreSilence, kindProperties{onStore, 2, true}},
	{StoreForget, kindProperties{onStore, 3, false}},
	{RouteAdd, kindProperties{onConfiguration, 4, false}},
	{RouteRemove, kindProperties{onConfiguration, 4, false}},
	{RouteMove, kindProperties{onConfiguration, 4, false}},
	{WorkerCrash, kindProperties{onWorkers, 4, true}},
	{WorkerHang, kindProperties{onWorkers, 2, true}},
	{WorkerCut, kindProperties{onWorkers, 2, true}},
	{WorkerCross, kindProperties{onWorkers, 2, true}},
	{WorkerReject, kindProperties{onWorkers, 2, true}},
	{WorkerFail, kindProperties{onWorkers, 1, true}},
	{WorkerDrain, kindProperties{onWorkers, 4, true}},
	{WorkerLateOrders, kindProperties{onWorkers, 3, true}},
}

// independentKinds are drawn from random sources of their own, so that the other faults of
// a seed don't change.
var independentKinds = []struct {
	Kind
	kindProperties
}{
	{CallerBurst, kindProperties{onNodes, 1, true}},
	{CallerSkew, kindProperties{onNodes, 0, true}},
	{ProcessKillAll, kindProperties{onNodes, 0, true}},
	{ProcessUpgrade, kindProperties{onNodes, 0, true}},
	{ProcessRollBack, kindProperties{onNodes, 0, true}},
	{WorkerRestart, kindProperties{onWorkers, 0, true}},
	{WorkerLateEntry, kindProperties{onWorkers, 0, true}},
	{WorkerLimit, kindProperties{onWorkers, 0, true}},
	{WorkerLeave, kindProperties{onWorkers, 0, true}},
	{WorkerShed, kindProperties{onWorkers, 0, true}},
	{WorkerBrittle, kindProperties{onWorkers, 0, true}},
	{WorkerSilence, kindProperties{onWorkers, 0, true}},
	{WorkerRejectTwice, kindProperties{onWorkers, 0, true}},
	{WorkerAnswerTwice, kindProperties{onWorkers, 0, true}},
	{WorkerRejectNobody, kindProperties{onWorkers, 0, true}},
	{WorkerEndless, kindProperties{onWorkers, 0, true}},
	{StoreRestore, kindProperties{onStore, 0, true}},
	{StoreRefuseReleases, kindProperties{onStore, 0, true}},
	{StoreLoseReleases, kindProperties{onStore, 0, true}},
	{PathHang, kindProperties{onNodes, 0, true}},
	{PathSilence, kindProperties{onNodes, 0, true}},
	{PathReset, kindProperties{onNodes, 0, true}},
	{PathRefuse, kindProperties{onNodes, 0, true}},
}

// lookUpKind returns the properties of a kind, and false for an unknown one.
func lookUpKind(kind Kind) (kindProperties, bool) {
	for _, known := range slices.Concat(kinds, independentKinds) {
		if known.Kind == kind {
			return known.kindProperties, true
		}
	}
	return kindProperties{}, false
}

// Kinds lists all kinds of faults.
func Kinds() []Kind {
	names := make([]Kind, 0, len(kinds)+len(independentKinds))
	for _, known := range slices.Concat(kinds, independentKinds) {
		names = append(names, known.Kind)
	}
	return names
}

// links are the links that faults can affect.
var links = []Link{LinkCaller, LinkStore, LinkPeer, LinkWorker}
