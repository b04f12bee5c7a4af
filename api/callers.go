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
	DefaultMaxBodyBytes      = 4 << 20
	DefaultBodyReadTimeout   = 30 * time.Second
	DefaultWriteStallTimeout = 30 * time.Second
	DefaultMaxDeadline       = time.Hour
)

// Paths of the engine API that callers may use.
const (
	pathChatCompletions = "/v1/chat/completions"
	pathCompletions     = "/v1/completions"
)

// Runner runs an admitted request. *relay.Runner implements it.
type Runner interface {
	Run(ctx context.Context, call relay.Call, sink relay.Sink) relay.Result
}

// CallersConfig configures the callers' API.
type CallersConfig struct {
	// Node is the prefix of request IDs, so that an ID shows its node.
	Node cluster.NodeID
	// Runner runs the requests.
	Runner Runner
	// Settings returns the snapshot in force, or nil before the first one.
	Settings func() *settings.Snapshot
	// MaxBodyBytes limits the size of a request body. Zero means DefaultMaxBodyBytes.
	MaxBodyBytes int64
	// BodyReadTimeout limits the time for reading a request body, and WriteStallTimeout how long a
	// write may wait for a caller that does not read its response. Zero means the default.
	BodyReadTimeout, WriteStallTimeout time.Duration
	// ShutdownContext is cancelled when the node stops, upon which requests whose body is still
	// being read are refused. It may be nil.
	ShutdownContext context.Context
	// MaxDeadline limits the deadline that a caller may request. Zero means DefaultMaxDeadline.
	MaxDeadline time.Duration
	Logger      *slog.Logger
	// Now is the clock of request deadlines. Nil means time.Now.
	Now func() time.Time
	// Observe is called once for each ended request. It may be nil.
	Observe func(Outcome)
}

// Outcome describes an ended inference request.
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

// callersHandler serves the callers' API.
type callersHandler struct {
	CallersConfig
	sequence atomic.Uint64
}

// NewCallers returns the handler of the callers' API.
func NewCallers(config CallersConfig) http.Handler {
	api := &callersHandler{CallersConfig: config.withDefaults()}
	router := chi.NewRouter()
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusNotFound, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "there is no %s", r.URL.Path), "")
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeError(w, http.StatusMethodNotAllowed, verdict.New(verdict.NotRun, verdict.CodeInvalidRequest, "%s is not allowed here", r.Method), "")
	})
	router.Get("/v1/models", api.listModels)
	router.Get("/v1/models/*", api.getModel)
	router.Post(pathChatCompletions, api.serveInference)
	router.Post(pathCompletions, api.serveInference)
	return router
}

// withDefaults returns the configuration with defaults in place of zero fields.
func (c CallersConfig) withDefaults() CallersConfig {
	c.MaxBodyBytes = cmp.Or(c.MaxBodyBytes, DefaultMaxBodyBytes)
	c.BodyReadTimeout = cmp.Or(c.BodyReadTimeout, DefaultBodyReadTimeout)
	c.WriteStallTimeout = cmp.Or(c.WriteStallTimeout, DefaultWriteStallTimeout)
	c.MaxDeadline = cmp.Or(c.MaxDeadline, DefaultMaxDeadline)
	c.Logger = cmp.Or(c.Logger, slog.New(slog.DiscardHandler))
	if c.ShutdownContext == nil {
		c.ShutdownContext = context.Background()
	}
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.Observe == nil {
		c.Observe = func(Outcome) {}
	}
	return c
}

// newRequestID returns an ID that starts with the node's ID and is unique among all nodes.
func (c *callersHandler) newRequestID() cluster.RequestID {
	return cluster.RequestID(string(c.Node) + "." + strconv.FormatUint(c.sequence.Add(1), 36))
}
