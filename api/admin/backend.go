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

// ErrNotFound is returned by a Backend for a model or request of which nothing
// is recorded.
var ErrNotFound = errors.New("nothing is recorded")

// Backend is what the API needs of the node it runs on. Lists come in any
// order. Methods are safe for concurrent use.
type Backend interface {
	// Settings returns what is in force on this node; nil before the first.
	Settings() (*settings.Tree, *settings.Snapshot)
	Members(ctx context.Context) ([]Member, error)
	Controllers(ctx context.Context) ([]Controller, error)
	Machines(ctx context.Context) ([]Machine, error)
	Replicas(ctx context.Context) ([]Replica, error)
	Queues(ctx context.Context) ([]Queue, error)
	// ModelDecisions returns the last decisions on a model, by zone.
	ModelDecisions(ctx context.Context, model cluster.ModelID) ([]ModelDecision, error)
	// RequestTrace returns what is recorded of a request on whatever node
	// accepted it, or ErrNotFound.
	RequestTrace(ctx context.Context, id cluster.RequestID) (RequestTrace, error)
	// EventsAfter returns the kept events with a larger number, oldest first,
	// and a channel that is closed when there are more.
	EventsAfter(after uint64) ([]Event, <-chan struct{})
}

// EditStore keeps the settings tree; *settings.Store implements it.
type EditStore interface {
	Load(ctx context.Context) (*settings.Tree, settings.Stamp, error)
	Commit(ctx context.Context, edit settings.Edit) (settings.Entry, error)
	Find(ctx context.Context, id string) (settings.Entry, bool, error)
	EntriesAfter(ctx context.Context, revision int64) ([]settings.Entry, error)
	TreeAt(ctx context.Context, revision int64) (*settings.Tree, error)
	// Restore stores a tree in force again when what is stored is behind it.
	Restore(ctx context.Context, tree *settings.Tree, stamp settings.Stamp) error
}

// Member is a valveslip node as this one knows it.
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
	// History and Revision of the configuration in force there.
	History  string `json:"history"`
	Revision int64  `json:"revision"`
	// Behind is how many revisions it lacks of the newest known.
	Behind int64 `json:"behind"`
}

// Controller is the holder of a zone's lease.
type Controller struct {
	Zone  cluster.ZoneID       `json:"zone"`
	Node  cluster.NodeID       `json:"node"`
	Token cluster.FencingToken `json:"token"`
	// Ready is true once a machine is sealed.
	Ready bool `json:"ready"`
	// Machines sealed, of those listed.
	Sealed   int `json:"sealed"`
	Machines int `json:"machines"`
}

// Machine is a back-end machine.
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

// Replica is a model on a machine.
type Replica struct {
	Model   cluster.ModelID   `json:"model"`
	Machine cluster.MachineID `json:"machine"`
	Zone    cluster.ZoneID    `json:"zone"`
	Version string            `json:"version"`
	// State is "loading", "loaded", "unloading" or "unknown".
	State string `json:"state"`
	Bytes int64  `json:"bytes"`
	// Since is when the replica entered the state.
	Since time.Time `json:"since,omitzero"`
}

// Queue is a model's queue on one node.
type Queue struct {
	Node    cluster.NodeID  `json:"node"`
	Model   cluster.ModelID `json:"model"`
	Waiting int             `json:"waiting"`
	Running int             `json:"running"`
	// Bytes of waiting request bodies.
	Bytes int64 `json:"bytes"`
	// OldestWaitSeconds of a waiting request.
	OldestWaitSeconds float64 `json:"oldest_wait_seconds"`
}

// ModelDecision is the last decision of one zone's controller on a model.
type ModelDecision struct {
	Zone cluster.ZoneID
	Node cluster.NodeID
	// At is when it was made.
	At       time.Time
	Decision placement.Decision
	// Actions on the model in the same plan.
	Actions []placement.Action
}

// RequestTrace is what is recorded of one request.
type RequestTrace struct {
	ID    cluster.RequestID
	Model cluster.ModelID
	// TokenPath is the subtree of the caller's token.
	TokenPath string
	Node      cluster.NodeID
	Arrived   time.Time
	// Ended is zero while the request is in flight.
	Ended    time.Time
	Attempts []AttemptTrace
	// Finish is nil while the request is in flight.
	Finish *routing.Finish
}

// AttemptTrace is one dispatch of a request.
type AttemptTrace struct {
	At       time.Time
	Dispatch routing.Dispatch
}

// Event is one decision or change for the event stream.
type Event struct {
	// Number grows with every event of this run of the node, from 1.
	Number uint64    `json:"number"`
	At     time.Time `json:"at"`
	// Kind is one of the EventKind constants.
	Kind EventKind `json:"kind"`
	// Path of the tree level concerned, empty for the whole system. A token
	// sees events of its subtree and of the whole system.
	Path  string          `json:"path,omitempty"`
	Model cluster.ModelID `json:"model,omitempty"`
	Zone  cluster.ZoneID  `json:"zone,omitempty"`
	Node  cluster.NodeID  `json:"node,omitempty"`
	// Text is one sentence for people.
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
