package admin

import (
	"context"
	"errors"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/settings"
)

// ErrNotFound is returned by a Backend for a model or request that it has no
// record of.
var ErrNotFound = errors.New("nothing is recorded")

// Backend gives the API access to the node that it runs on. Lists are in no
// particular order. Methods are safe for concurrent use.
type Backend interface {
	// Settings returns the settings in force on this node as a tree and compiled.
	// Both are nil until the node has received its first settings.
	Settings() (*settings.Tree, *settings.Snapshot)
	Members(ctx context.Context) ([]Member, error)
	Controllers(ctx context.Context) ([]Controller, error)
	Machines(ctx context.Context) ([]Machine, error)
	Replicas(ctx context.Context) ([]Replica, error)
	Queues(ctx context.Context) ([]Queue, error)
	// ModelDecisions returns the last decision on a model of each zone's controller.
	ModelDecisions(ctx context.Context, model cluster.ModelID) ([]ModelDecision, error)
	// RequestTrace returns the trace of a request from the node that accepted it,
	// which may be another than this one, or ErrNotFound.
	RequestTrace(ctx context.Context, id cluster.RequestID) (RequestTrace, error)
	// EventsAfter returns the retained events with a larger number, oldest first,
	// and a channel that is closed when further events are appended.
	EventsAfter(after uint64) ([]Event, <-chan struct{})
}

// EditStore stores the settings tree and its history; *settings.Store implements it.
type EditStore interface {
	Load(ctx context.Context) (*settings.Tree, settings.Stamp, error)
	Commit(ctx context.Context, edit settings.Edit) (settings.Entry, error)
	Find(ctx context.Context, id string) (settings.Entry, bool, error)
	EntriesAfter(ctx context.Context, revision int64) ([]settings.Entry, error)
	TreeAt(ctx context.Context, revision int64) (*settings.Tree, error)
	// Restore stores a tree that is in force again, if the stored tree is older.
	Restore(ctx context.Context, tree *settings.Tree, stamp settings.Stamp) error
}

// Member is a valveslip node, in the state that this node knows of it.
type Member struct {
	ID            cluster.NodeID   `json:"id"`
	Zone          cluster.ZoneID   `json:"zone"`
	Region        cluster.RegionID `json:"region"`
	PeerAddress   string           `json:"peer_address"`
	AdminAddress  string           `json:"admin_address"`
	CallerAddress string           `json:"caller_address"`
	// State is "alive", "suspect", "dead" or "leaving".
	State       string    `json:"state"`
	Incarnation uint64    `json:"incarnation"`
	Since       time.Time `json:"since,omitzero"`
	// History and Revision identify the settings in force on the member.
	History  string `json:"history"`
	Revision int64  `json:"revision"`
	// Behind is the number of revisions between the member's settings and the
	// newest known ones.
	Behind int64 `json:"behind"`
}

// Controller is the node that holds a zone's controller lease.
type Controller struct {
	Zone  cluster.ZoneID       `json:"zone"`
	Node  cluster.NodeID       `json:"node"`
	Token cluster.FencingToken `json:"token"`
	// Ready is true once at least one machine is sealed.
	Ready bool `json:"ready"`
	// Sealed is the number of sealed machines, Machines that of all listed ones.
	Sealed   int `json:"sealed"`
	Machines int `json:"machines"`
}

// Machine is a back-end machine, which hosts replicas of models.
type Machine struct {
	ID           cluster.MachineID `json:"id"`
	Zone         cluster.ZoneID    `json:"zone"`
	Region       cluster.RegionID  `json:"region"`
	Rack         string            `json:"rack"`
	Address      string            `json:"address"`
	Pool         string            `json:"pool"`
	Sealed       bool              `json:"sealed"`
	Leaving      bool              `json:"leaving"`
	MemoryBytes  int64             `json:"memory_bytes"`
	UsedBytes    int64             `json:"used_bytes"`
	Accelerators int               `json:"accelerators"`
	Slots        int               `json:"slots"`
	Running      int               `json:"running"`
	Queued       int               `json:"queued"`
}

// Replica is a copy of a model on a machine.
type Replica struct {
	Model   cluster.ModelID   `json:"model"`
	Machine cluster.MachineID `json:"machine"`
	Zone    cluster.ZoneID    `json:"zone"`
	Version string            `json:"version"`
	// State is "loading", "loaded", "unloading" or "unknown".
	State string `json:"state"`
	Bytes int64  `json:"bytes"`
	// Since is when the replica entered its present state; zero if unknown.
	Since time.Time `json:"since,omitzero"`
}

// Queue is a model's queue on one node.
type Queue struct {
	Node    cluster.NodeID  `json:"node"`
	Model   cluster.ModelID `json:"model"`
	Waiting int             `json:"waiting"`
	Running int             `json:"running"`
	// Bytes is the total size of the waiting requests' bodies.
	Bytes int64 `json:"bytes"`
	// OldestWaitSeconds is how long the oldest waiting request has waited.
	OldestWaitSeconds float64 `json:"oldest_wait_seconds"`
}

// ModelDecision is the last decision of one zone's controller on a model.
type ModelDecision struct {
	Zone cluster.ZoneID
	Node cluster.NodeID
	// At is when the decision was made.
	At       time.Time
	Decision placement.Decision
	// Actions are the actions on the model in the same plan.
	Actions []placement.Action
}

// RequestTrace is the recorded course of one request.
type RequestTrace struct {
	ID    cluster.RequestID
	Model cluster.ModelID
	// TokenPath is the path of the subtree that the caller's token is bound to.
	TokenPath string
	Node      cluster.NodeID
	Arrived   time.Time
	// Ended is zero while the request is in flight.
	Ended    time.Time
	Attempts []AttemptTrace
	// Finish is nil while the request is in flight.
	Finish *routing.Finish
}

// AttemptTrace is one dispatch of a request to a machine.
type AttemptTrace struct {
	At       time.Time
	Dispatch routing.Dispatch
}

// Event is a decision or a state change that the event stream reports.
type Event struct {
	// Number is the sequence number of the event. It starts at 1 when the node's
	// process starts.
	Number uint64    `json:"number"`
	At     time.Time `json:"at"`
	// Kind is one of the EventKind constants.
	Kind EventKind `json:"kind"`
	// Path is the settings level that the event concerns, empty for the whole
	// system. A token sees events of its subtree and of the whole system.
	Path  string          `json:"path,omitempty"`
	Model cluster.ModelID `json:"model,omitempty"`
	Zone  cluster.ZoneID  `json:"zone,omitempty"`
	Node  cluster.NodeID  `json:"node,omitempty"`
	// Text describes the event in one sentence for operators.
	Text string `json:"text"`
}

// EventKind classifies events.
type EventKind string

// The kinds of events.
const (
	EventSettings   EventKind = "settings"
	EventDecision   EventKind = "decision"
	EventOrder      EventKind = "order"
	EventController EventKind = "controller"
	EventMember     EventKind = "member"
	EventMachine    EventKind = "machine"
	EventRequest    EventKind = "request"
)
