package engine

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Headers of the inference API beyond OpenAI's. Engines echo the first two on
// every answer, so a late or crossed answer can be told from the right one.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Valveslip-Attempt"
	// HeaderPriority is a decimal number; larger goes first.
	HeaderPriority = "X-Valveslip-Priority"
	// HeaderDeadline is RFC 3339 with nanoseconds.
	HeaderDeadline = "X-Valveslip-Deadline"
	// HeaderVerdict on a refusal is a verdict.Verdict in text form.
	HeaderVerdict = "X-Valveslip-Verdict"
)

// Paths of the control API. Bodies are the JSON form of the types of package
// cluster and of this package.
const (
	// PathSeal takes POST SealRequest and answers cluster.Inventory; 409 with
	// an OrderRefusal when the engine already accepted a larger token.
	PathSeal = "/control/v1/seal"
	// PathInventory takes GET and answers cluster.Inventory.
	PathInventory = "/control/v1/inventory"
	// PathOrders takes POST cluster.Order and answers 202 cluster.Inventory;
	// 409 OrderRefusal for a stale token.
	PathOrders = "/control/v1/orders"
	// PathReport takes GET and answers cluster.LoadReport.
	PathReport = "/control/v1/report"
	// PathCacheEvents takes GET ?after=SEQUENCE and answers []cluster.CacheEvent.
	PathCacheEvents = "/control/v1/cache-events"
	// PathStreams + /{request}/{attempt} takes GET ?offset=BYTES and answers the
	// rest of the attempt's answer body from that byte on; DELETE cancels it.
	PathStreams = "/control/v1/streams"
	// PathKV + /{model} takes GET (export) and PUT (import) of KV cache bytes,
	// with ?token=TOKEN&version=VERSION: 409 OrderRefusal unless the token is the
	// one the engine was last sealed with and the version the one it has loaded.
	// An import that breaks off has no effect.
	PathKV = "/control/v1/kv"
)

// SealRequest raises the engine's token to Token.
type SealRequest struct {
	Token cluster.FencingToken
}

// OrderRefusal is the body of a refused order or seal.
type OrderRefusal struct {
	// Reason is "stale-token", "not-sealed", "other-run", "unknown-model-base"
	// or "invalid".
	Reason string
	// Token the engine holds.
	Token cluster.FencingToken
}

// Call is one attempt to run a request on an engine.
type Call struct {
	Request  cluster.RequestID
	Attempt  cluster.Attempt
	Address  string // host:port
	Path     string // /v1/chat/completions or /v1/completions
	Body     []byte
	Priority int
	// Deadline after which the engine need not start the request any more;
	// zero means none.
	Deadline time.Time
	Header   http.Header
}

// Answer is the engine's answer once its header has arrived.
type Answer struct {
	Status int
	Header http.Header
	// Body must be closed. A read error before the end is a cut stream.
	Body io.ReadCloser
}

// Inference runs requests. Errors are *verdict.Error: NotRun when the engine
// was never reached or confirmed that it did not start the request, else
// MayHaveRun.
type Inference interface {
	Run(ctx context.Context, call Call) (*Answer, error)
	// Resume continues the answer of an earlier attempt at the byte offset.
	Resume(ctx context.Context, call Call, offset int64) (*Answer, error)
	Cancel(ctx context.Context, call Call) error
}

// Control gives fenced orders and reads inventories. A refusal for a stale
// token is a *StaleTokenError.
type Control interface {
	Seal(ctx context.Context, address string, token cluster.FencingToken) (cluster.Inventory, error)
	Inventory(ctx context.Context, address string) (cluster.Inventory, error)
	Order(ctx context.Context, address string, order cluster.Order) (cluster.Inventory, error)
	Report(ctx context.Context, address string) (cluster.LoadReport, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]cluster.CacheEvent, error)
}

// StaleTokenError says that the engine follows a later controller.
type StaleTokenError struct {
	Held cluster.FencingToken
}

// Error implements error.
func (e *StaleTokenError) Error() string { return "engine holds a larger fencing token" }
