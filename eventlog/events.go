package eventlog

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/keyvalue"
)

// Documented is an event with a description for operators.
type Documented interface {
	Event
	// Meaning returns the description, one sentence.
	Meaning() string
}

// All returns an empty event of each kind, in the order of the reference page.
func All() []Documented {
	return []Documented{
		NodeStarted{}, StartStage{}, NodeStopping{}, NodeStopped{}, SettingsRead{}, PauseNoticed{},
		RequestRefused{}, RequestAccepted{}, RequestHeld{}, RequestSent{}, MachineStartChecked{}, AttemptSilent{}, AttemptThroughPeer{}, PeerRequestEnded{}, AnswerDiscarded{}, AttemptEnded{}, RequestEnded{}, CallerStalled{},
		ConfigurationInForce{}, ConfigurationRejected{}, WorkerChanged{}, WorkerUnreadable{}, WorkerRestarted{}, MachineStartUnlisted{}, WorkerGone{}, WorkerLeaving{}, WorkerRests{}, WorkerLimited{}, MachinePathChanged{}, TurnDecided{}, NodesChanged{},
		FeedChanged{}, StarterChosen{}, SnapshotTaken{}, KnowledgeOld{}, KnowledgeNew{}, StoreCalls{}, StoreCallSlow{}, CallFailed{}, RecordUnreadable{}, DependencyLost{}, DependencyBack{}, StoreReadDropped{}, StoreEraChanged{}, StoreRestored{}, LeaseChanged{},
		PoisonJudged{}, PoisonProbe{}, ReleasesChanged{}, ReleasesRecorded{}, StreamResumed{}, KeysJudged{}, KeyUndecided{}, LendingChanged{}, DispatcherChanged{}, OrderPlanned{}, LoadDelayed{}, StoreCapacityLearned{}, OrderAnswered{}, ReplicaChanged{}, LinesDropped{},
	}
}

// PoisonJudged is written when this node's record changes for a request whose machines
// terminated while they ran it. The change comes from the node's own attempts or from the
// sum of the reports of all nodes.
type PoisonJudged struct {
	Content  string `log:"content" doc:"fingerprint of what the request asks for, or of a part of its prompt"`
	Part     string `log:"part,omitempty" doc:"ID of that part"`
	Outcome  string `log:"outcome" doc:"suspected, convicted (it is refused from now on), or cleared"`
	Ends     int    `log:"ends" doc:"machines for whose end it is to blame"`
	Machines string `log:"machines" doc:"machines that ended while they had it"`
}

// PoisonProbe is written when this node asks the store for the permission to send a blocked
// request once more as a probe, and when it gets it.
type PoisonProbe struct {
	Content string `log:"content" doc:"fingerprint of what the request asks for"`
	Outcome string `log:"outcome" doc:"claimed, granted (the next such request here is sent), or silent (its machine does not answer)"`
	Number  int    `log:"number" doc:"number of the probe among those of all nodes, from 1"`
}

// ReleasesChanged is written when the software releases change at which streams of a service may
// have begun that can still be resumed.
type ReleasesChanged struct {
	Service  string `log:"service" doc:"the service"`
	Releases string `log:"releases" doc:"releases of its workers, those included that went a short time ago"`
	Mixed    bool   `log:"mixed" doc:"whether there may be several, so that streams are kept apart"`
	Complete bool   `log:"complete" doc:"whether this node knows of all; before, streams may have begun at others"`
}

// ReleasesRecorded is written when this node writes the record of the releases at which streams may have begun.
type ReleasesRecorded struct {
	Complete bool         `log:"complete" doc:"whether the record lists all of them"`
	Era      keyvalue.Era `log:"era" doc:"era of the store in which it does"`
}

// StreamResumed is written when a caller resumes a stream: at which release it goes on, and how this
// node knows.
type StreamResumed struct {
	Request  cluster.RequestID `log:"request" doc:"request id"`
	Resumes  cluster.RequestID `log:"resumes,omitempty" doc:"request that brought the first event of the stream"`
	Release  string            `log:"release,omitempty" doc:"release at which the stream began"`
	Outcome  string            `log:"outcome" doc:"why it goes on there, or why it is refused"`
	Asked    int               `log:"asked,omitempty" doc:"nodes that were asked"`
	Answered int               `log:"answered,omitempty" doc:"nodes that answered"`
	Took     time.Duration     `log:"took_ms,omitempty" doc:"time until the release was known or given up"`
	Observed time.Duration     `log:"observed_ms" doc:"for how long this node has known all workers"`
}

// KeysJudged is written when this node's knowledge of the tenants' API keys becomes too
// old, or recent enough again, to serve requests that need a key.
type KeysJudged struct {
	Proven bool          `log:"proven" doc:"whether requests with a key are sent"`
	Age    time.Duration `log:"age_ms" doc:"since when the configuration in force is not known to be the newest"`
	Bound  time.Duration `log:"bound_ms" doc:"the age from which on no request with a key is sent"`
}

// KeyUndecided is written when a request is rejected for a later retry because its API key
// is unknown and this node's knowledge is too old to rule out that the key exists.
type KeyUndecided struct {
	Age time.Duration `log:"age_ms" doc:"since when the configuration in force is not known to be the newest"`
}

// LendingChanged is written when this node starts or stops to lend rate-limit tokens to
// the tenants of a shard.
type LendingChanged struct {
	Shard   int           `log:"shard" doc:"number of the shard"`
	Held    bool          `log:"held" doc:"whether this node lends from now on"`
	Settled time.Duration `log:"settled_ms" doc:"for how long the lender had not changed before"`
}

// DispatcherChanged is written when this node starts to ask another node for the engines
// at which prompts are read.
type DispatcherChanged struct {
	Dispatcher cluster.NodeID `log:"dispatcher" doc:"node that is asked from now on"`
	Silent     bool           `log:"silent" doc:"whether that is because the one before it did not answer"`
	InFlight   int            `log:"in_flight" doc:"requests to engines of which it was told"`
}

// NodeStarted is written once at startup.
type NodeStarted struct {
	Zone    cluster.ZoneID `log:"zone" doc:"zone of the node"`
	Callers string         `log:"callers" doc:"address for callers"`
	Peer    string         `log:"peer" doc:"address for messages between nodes"`
	Version string         `log:"version" doc:"version of the program"`
}

// StartStage is written when a starting node has reached a stage.
type StartStage struct {
	Stage string        `log:"stage" doc:"store read (everything was read once), ready (callers are served)"`
	After time.Duration `log:"after_ms" doc:"time since the process began to listen"`
}

// NodeStopping is written when a planned stop begins.
type NodeStopping struct {
	InFlight int `log:"in_flight" doc:"requests that have not ended"`
}

// NodeStopped is the last line of a planned stop.
type NodeStopped struct {
	InFlight int           `log:"in_flight" doc:"requests that are cut off"`
	Took     time.Duration `log:"took_ms" doc:"time since the stop began"`
}

// SettingsRead is written at startup and at each reload of the settings file.
type SettingsRead struct {
	Path  string `log:"path" doc:"settings file"`
	Error string `log:"error,omitempty" doc:"why the settings before it stay in force"`
}

// PauseNoticed is written when the process detects that it was not running for a while.
type PauseNoticed struct {
	Pause time.Duration `log:"pause_ms" doc:"how long the process stood still"`
}

// ConfigurationInForce is written when a configuration has come into force.
type ConfigurationInForce struct {
	Version  int64         `log:"config" doc:"version"`
	Routes   int           `log:"routes" doc:"number of routes"`
	Services int           `log:"services" doc:"number of services"`
	Took     time.Duration `log:"took_ms" doc:"time to compile it"`
}

// ConfigurationRejected is written when a configuration is invalid; the one before it
// stays in force.
type ConfigurationRejected struct {
	Revision keyvalue.Revision `log:"revision" doc:"revision of the store"`
	Cause    string            `log:"cause" doc:"key and reason"`
}

// WorkerChanged is written when a worker's registry entry is new or has changed.
type WorkerChanged struct {
	Machine  cluster.MachineID `log:"machine" doc:"worker"`
	Service  string            `log:"service" doc:"its service"`
	Address  string            `log:"address" doc:"its address"`
	Draining bool              `log:"draining" doc:"whether it takes no new requests"`
	Release  string            `log:"release,omitempty" doc:"version of its software"`
	Held     int               `log:"models" doc:"models it holds"`
	Revision keyvalue.Revision `log:"revision" doc:"revision of the store"`
}

// WorkerUnreadable is written when a worker's registry entry can't be parsed.
type WorkerUnreadable struct {
	Machine  cluster.MachineID `log:"machine" doc:"worker"`
	Revision keyvalue.Revision `log:"revision" doc:"revision of the store"`
	Outcome  string            `log:"outcome" doc:"not known (it is not used), what was known holds, takes no new requests, or passed over (it is of an earlier start of the machine)"`
	Cause    string            `log:"cause" doc:"why it can't be read"`
}

// WorkerRestarted is written when a worker's registry entry belongs to a later start under
// the same ID.
type WorkerRestarted struct {
	Machine  cluster.MachineID `log:"machine" doc:"the later start"`
	Before   cluster.MachineID `log:"before" doc:"the start that has ended, of which nothing known counts for the later one"`
	Revision keyvalue.Revision `log:"revision" doc:"revision of the store"`
}

// MachineStartUnlisted is written when a start of a worker answers for the first time whose entry is not read yet.
type MachineStartUnlisted struct {
	Machine cluster.MachineID `log:"machine" doc:"start that the entry is of"`
	Found   cluster.MachineID `log:"found" doc:"start that answers"`
	Service string            `log:"service" doc:"service"`
	Release string            `log:"release" doc:"version of the software in the entry"`
}

// WorkerGone is written when a worker's registry entry was deleted, or when another worker
// answers at its address.
type WorkerGone struct {
	Machine cluster.MachineID `log:"machine" doc:"worker"`
	Cause   string            `log:"cause" doc:"how the node learned it"`
}

// MachinePathChanged is written when this node starts or ceases to believe that it has lost its own
// path to all workers.
type MachinePathChanged struct {
	State    string        `log:"state" doc:"connected, suspected (connections to several workers failed), or lost (probes on new connections failed too)"`
	Failed   int           `log:"failed" doc:"workers at which connections failed and nothing was heard since"`
	Machines string        `log:"machines,omitempty" doc:"addresses of some of them"`
	Heard    bool          `log:"heard" doc:"whether data arrived from any worker since the first failure"`
	Before   time.Duration `log:"before_ms" doc:"how long the state before lasted"`
	Cause    string        `log:"cause" doc:"the last failure, or what disproved the failures"`
}

// WorkerLimited is written when a worker sets, changes or removes its limit on the
// requests per second from all nodes together.
type WorkerLimited struct {
	Machine cluster.MachineID `log:"machine" doc:"worker"`
	Limited bool              `log:"limited" doc:"whether it names a limit"`
	Limit   float64           `log:"limit" doc:"requests a second"`
	Stated  float64           `log:"stated,omitempty" doc:"requests a second that a brittle worker names itself"`
	Brittle int               `log:"brittle,omitempty" doc:"requests that it can turn away in a second before it ends"`
	Turns   int               `log:"turns,omitempty" doc:"requests that a brittle worker gets at a time from all nodes together; the limit follows from it"`
	By      cluster.NodeID    `log:"by" doc:"node to which the worker said so"`
	Request cluster.RequestID `log:"request,omitempty" doc:"request whose answer said so, at this node"`
}

// WorkerLeaving is written for the first answer that says that its worker is leaving.
type WorkerLeaving struct {
	Machine cluster.MachineID `log:"machine" doc:"worker, which gets no new requests from now on"`
	Request cluster.RequestID `log:"request" doc:"request whose answer said so"`
}

// WorkerRests is written when a worker that rejected a request asks this node to send
// nothing for a time.
type WorkerRests struct {
	Machine cluster.MachineID `log:"machine" doc:"worker"`
	Request cluster.RequestID `log:"request" doc:"request whose answer said so"`
	Rest    time.Duration     `log:"rest_ms" doc:"for how long it gets nothing"`
}

// TurnDecided is written when this node's request for a turn at a worker with a limit was
// granted or denied. A turn allows one request.
type TurnDecided struct {
	Machine cluster.MachineID `log:"machine" doc:"worker"`
	Granted bool              `log:"granted" doc:"whether one request may be sent"`
	Wait    time.Duration     `log:"wait_ms" doc:"until it may be sent, or another turn may be asked for"`
	By      cluster.NodeID    `log:"by" doc:"node that decided"`
}

// NodesChanged is written when the number of live nodes has changed.
type NodesChanged struct {
	Nodes int `log:"nodes" doc:"live nodes, this one included"`
}

// FeedChanged is written when this node switches to another source of the store's changes.
type FeedChanged struct {
	Source string        `log:"source" doc:"store or peer, and whether the node relays"`
	Silent time.Duration `log:"silent_ms" doc:"how long no relay was heard of"`
}

// StarterChosen is written when a starting node claims the role of reading the whole store
// for its zone.
type StarterChosen struct {
	Starter  cluster.NodeID    `log:"starter" doc:"node that reads everything for those that start after it"`
	Own      bool              `log:"own" doc:"whether it is this node"`
	Revision keyvalue.Revision `log:"revision" doc:"revision of the record that says so"`
}

// SnapshotTaken is written when a starting node has received a snapshot of the store from
// another node.
type SnapshotTaken struct {
	From     cluster.NodeID    `log:"from" doc:"node that sent it"`
	Revision keyvalue.Revision `log:"revision" doc:"revision of the store up to which the node knows everything"`
	Pairs    int               `log:"pairs" doc:"how many pairs the store holds"`
	Took     time.Duration     `log:"took_ms" doc:"how long ago the node began to look for it"`
}

// KnowledgeOld is written when this node's copy of the store (configuration, workers and
// nodes) becomes out of date.
type KnowledgeOld struct {
	Age      time.Duration     `log:"age_ms" doc:"how long ago the store was read by whoever told of it"`
	Source   string            `log:"source" doc:"from where changes are learned"`
	Revision keyvalue.Revision `log:"revision" doc:"the store's revision up to which the node knows everything, 0 while it has everything read"`
	Late     time.Duration     `log:"late_ms" doc:"how late the node carries out what is ready to run"`
	Lost     string            `log:"lost,omitempty" doc:"why the node's own calls to the store fail"`
}

// KnowledgeNew is written when this node's copy of the store is up to date again.
type KnowledgeNew struct {
	After    time.Duration     `log:"after_ms" doc:"since when no reading of the store was known"`
	Source   string            `log:"source" doc:"from where it was learned"`
	Revision keyvalue.Revision `log:"revision" doc:"the store's revision up to which the node knows everything"`
}

// StoreCalls is written for each period in which this node called the store.
type StoreCalls struct {
	Span     time.Duration `log:"span_ms" doc:"time that the counts are of"`
	Source   string        `log:"source" doc:"from where changes are learned at its end"`
	Reads    int           `log:"reads" doc:"reads of everything"`
	Polls    int           `log:"polls" doc:"calls for changes"`
	Grants   int           `log:"grants" doc:"leases asked for"`
	Writes   int           `log:"writes" doc:"transactions"`
	Renewals int           `log:"renewals" doc:"renewals of leases"`
	Ends     int           `log:"ends" doc:"leases given back"`
	Verifies int           `log:"verifications" doc:"calls that confirm that the configuration is the newest"`
	Failed   int           `log:"failed" doc:"those of the calls that failed"`
}

// StoreCallSlow is written when a call by which this node follows the store's changes took
// long.
type StoreCallSlow struct {
	Call   string            `log:"call" doc:"the kind of call"`
	Took   time.Duration     `log:"took_ms" doc:"from its beginning to the end of its answer"`
	Known  keyvalue.Revision `log:"known" doc:"the store's revision up to which the node knew everything"`
	Failed bool              `log:"failed" doc:"whether it brought nothing"`
}

// CallFailed is written when a call for one of this node's records in the store, or for a
// worker's report, has failed: once for each cause until such a call succeeds.
type CallFailed struct {
	Call    string            `log:"call" doc:"kind of the call"`
	Machine cluster.MachineID `log:"machine,omitempty" doc:"worker that was called"`
	Cause   string            `log:"cause" doc:"the error"`
}

// RecordUnreadable is written when a record of the nodes in the store can't be parsed and
// is ignored.
type RecordUnreadable struct {
	Key      string            `log:"key" doc:"key in the store"`
	Revision keyvalue.Revision `log:"revision" doc:"revision of its last change"`
	Cause    string            `log:"cause" doc:"the error"`
}

// DependencyLost is written when the store or the controller becomes unreachable, and when
// the cause changes.
type DependencyLost struct {
	Name  string `log:"name" doc:"what was lost"`
	Cause string `log:"cause" doc:"the error"`
}

// DependencyBack is written when the store or the controller is reachable again.
type DependencyBack struct {
	Name  string        `log:"name" doc:"what is back"`
	After time.Duration `log:"after_ms" doc:"how long it was lost"`
}

// StoreReadDropped is written when a full read of the store is older than what is known and is dropped.
type StoreReadDropped struct {
	Revision keyvalue.Revision `log:"revision" doc:"revision at which the store was read"`
	Known    keyvalue.Revision `log:"known" doc:"revision up to which changes are known"`
}

// StoreRestored is written when this node has taken the content of a store that came back from a copy.
type StoreRestored struct {
	Revision keyvalue.Revision `log:"revision" doc:"era and revision of the content"`
}

// StoreEraChanged is written when an answer of the store states another era than the answers before.
type StoreEraChanged struct {
	Era    keyvalue.Era `log:"era" doc:"era that the store states, 0 if it states none"`
	Before keyvalue.Era `log:"before" doc:"era that it stated before"`
}

// LeaseChanged is written when, as far as this node knows, the lease of its zone has
// another holder.
type LeaseChanged struct {
	Holder cluster.NodeID       `log:"holder" doc:"node that gives orders, empty for none"`
	Token  cluster.FencingToken `log:"token" doc:"its fencing token"`
	Own    bool                 `log:"own" doc:"whether it is this node"`
	Cause  string               `log:"cause" doc:"what changed"`
}

// OrderPlanned is written when the placement has decided on an order.
type OrderPlanned struct {
	Machine  cluster.MachineID `log:"machine" doc:"worker"`
	Order    string            `log:"order" doc:"load or unload"`
	Work     cluster.ModelID   `log:"work" doc:"service, model and adapter"`
	Cause    string            `log:"cause" doc:"rule that decided"`
	Waiting  int               `log:"waiting" doc:"requests that wait for it"`
	Reading  float64           `log:"reading" doc:"seconds of its prompts that come a second"`
	Bound    float64           `log:"reading_bound" doc:"seconds of them that one replica should get a second"`
	Tier     string            `log:"tier" doc:"where the weights come from"`
	Expected time.Duration     `log:"expected_ms" doc:"expected time of a load"`
	Count    int64             `log:"orders" doc:"orders that the worker has taken, as the order expects"`
}

// LoadDelayed is written when requests wait for a model and the plan has no order for it,
// once for each cause.
type LoadDelayed struct {
	Work    cluster.ModelID `log:"work" doc:"service, model and adapter"`
	Cause   string          `log:"cause" doc:"rule that decided"`
	Waiting int             `log:"waiting" doc:"requests that wait for it"`
	Wanted  int             `log:"wanted" doc:"replicas that the demand needs"`
	Held    int             `log:"held" doc:"replicas in any state"`
	Loaded  int             `log:"loaded" doc:"replicas that are loaded"`
	Loading int             `log:"store_loads" doc:"loads from the weight store under way or planned"`
	Limit   int             `log:"store_limit" doc:"how many may be under way"`
	Starts  float64         `log:"store_starts" doc:"how many may begin now"`
}

// StoreCapacityLearned is written when the lease holder changes the number of concurrent
// loads that it allows from the weight store.
type StoreCapacityLearned struct {
	Loads  int `log:"loads" doc:"loads at once that the store is believed to bear at full speed"`
	Before int `log:"before" doc:"the same before"`
}

// OrderAnswered is written for each answer to an order, and when there was no answer.
type OrderAnswered struct {
	Machine cluster.MachineID `log:"machine" doc:"worker"`
	Order   string            `log:"order" doc:"load or unload"`
	Work    cluster.ModelID   `log:"work" doc:"service, model and adapter"`
	Outcome string            `log:"outcome" doc:"what the worker said"`
	Took    time.Duration     `log:"took_ms" doc:"time since it was sent"`
}

// ReplicaChanged is written when the lease holder learns that a load or unload is done.
type ReplicaChanged struct {
	Machine cluster.MachineID `log:"machine" doc:"worker"`
	Work    cluster.ModelID   `log:"work" doc:"service, model and adapter"`
	State   string            `log:"state" doc:"new state"`
	Took    time.Duration     `log:"took_ms" doc:"time in the state before"`
}

// LinesDropped is written when lines were dropped.
type LinesDropped struct {
	Lines string `log:"lines" doc:"kind of the lines"`
	Count uint64 `log:"count" doc:"how many"`
}
