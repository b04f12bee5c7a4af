package api

import (
	"cmp"
	"context"
	"log/slog"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// Defaults of CallersConfig.
const (
	DefaultMaxBodyBytes = 4 << 20
	DefaultBodyTime     = 30 * time.Second
	DefaultStallTime    = 30 * time.Second
	DefaultMaxDeadline  = time.Hour
)

// Engine paths that callers may use.
const (
	pathChatCompletions = "/v1/chat/completions"
	pathCompletions     = "/v1/completions"
)

// Runner runs an admitted request; *relay.Runner implements it.
type Runner interface {
	Run(ctx context.Context, call relay.Call, sink relay.Sink) relay.Result
}

// CallersConfig sets up the callers' API.
type CallersConfig struct {
	// Node prefixes request ids, so that an id names its node.
	Node cluster.NodeID
	// Runner runs the requests.
	Runner Runner
	// Settings returns the snapshot in force, or nil before the first.
	Settings func() *settings.Snapshot
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// BodyTime bounds the reading of a request body, and StallTime the wait
	// for a caller that does not take its answer.
	BodyTime, StallTime time.Duration
	// Stopping ends when the node stops: bodies that have not come whole are refused then.
	// It may be nil.
	Stopping context.Context
	// MaxDeadline bounds the deadline a caller may state.
	MaxDeadline time.Duration
	Logger      *slog.Logger
	// Now is the clock of deadlines; time.Now by default.
	Now func() time.Time
	// Observe is called once for each ended request; it may be nil.
	Observe func(Outcome)
}

// Outcome is the account of one ended inference request.
type Outcome struct {
	Request cluster.RequestID
	Model   cluster.ModelID
	// Token is the name of the caller's token.
	Token  string
	Status int
	Stream bool
	// Total is the time from the request's header to its end.
	Total  time.Duration
	Result relay.Result
}

// callers serves the callers' API.
type callers struct {
	CallersConfig
	sequence atomic.Uint64
}

// NewCallers returns the handler of the callers' API.
func NewCallers(config CallersConfig) http.Handler {
	api := &callers{CallersConfig: config.withDefaults()}
	router := chi.NewRouter()
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusNotFound, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "there is no %s", r.URL.Path), "")
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusMethodNotAllowed, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "%s is not allowed here", r.Method), "")
	})
	router.Get("/v1/models", api.listModels)
	router.Get("/v1/models/*", api.getModel)
	router.Post(pathChatCompletions, api.infer)
	router.Post(pathCompletions, api.infer)
	return router
}

// withDefaults fills zero fields.
func (c CallersConfig) withDefaults() CallersConfig {
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, DefaultMaxBodyBytes)
	c.BodyTime = cmp.Or(c.BodyTime, DefaultBodyTime)
	c.StallTime = cmp.Or(c.StallTime, DefaultStallTime)
	c.MaxDeadline = cmp.Or(c.MaxDeadline, DefaultMaxDeadline)
	c.Logger = cmp.Or(c.Logger, slog.New(slog.DiscardHandler))
	if c.Stopping == nil {
		c.Stopping = context.Background()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Observe == nil {
		c.Observe = func(Outcome) {}
	}
	return c
}

// newRequestID returns an id that is unique over all nodes and names this one.
func (c *callers) newRequestID() cluster.RequestID {
	return cluster.RequestID(string(c.Node) + "." + strconv.FormatUint(c.sequence.Add(1), 36))
}
