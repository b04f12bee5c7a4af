package engine

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Header fields of the inference API in addition to OpenAI's. Engines echo the first two in every
// answer, so that an answer to another attempt is recognized.
const (
	HeaderRequestID = "X-Request-Id"
	HeaderAttempt   = "X-Valveslip-Attempt"
	// HeaderPriority is a decimal number. A larger number is more urgent.
	HeaderPriority = "X-Valveslip-Priority"
	// HeaderDeadline is a time in RFC 3339 format with nanoseconds.
	HeaderDeadline = "X-Valveslip-Deadline"
	// HeaderVerdict in a refusal is a verdict.Verdict in text form.
	HeaderVerdict = "X-Valveslip-Verdict"
)

// Paths of the control API. Bodies are the JSON form of the types in package cluster and in this
// package.
const (
	// PathSeal accepts POST with SealRequest and answers cluster.Inventory, or 409 with
	// OrderRefusal if the engine has already accepted a larger token.
	PathSeal = "/control/v1/seal"
	// PathInventory accepts GET and answers cluster.Inventory.
	PathInventory = "/control/v1/inventory"
	// PathOrders accepts POST with cluster.Order and answers 202 with cluster.Inventory, or 409
	// with OrderRefusal for a stale token.
	PathOrders = "/control/v1/orders"
	// PathReport accepts GET and answers cluster.LoadReport.
	PathReport = "/control/v1/report"
	// PathCacheEvents accepts GET with ?after=SEQUENCE and answers []cluster.CacheEvent.
	PathCacheEvents = "/control/v1/cache-events"
	// PathStreams + /{request}/{attempt} accepts GET with ?offset=BYTES and answers the body of
	// the attempt's answer from that byte on. DELETE cancels the attempt.
	PathStreams = "/control/v1/streams"
	// PathKV + /{model} accepts GET (export) and PUT (import) of the bytes of a KV cache, with
	// ?token=TOKEN&version=VERSION. It answers 409 with OrderRefusal unless the token is the one
	// the engine was last sealed with and the version is the loaded one. An incomplete import has
	// no effect.
	PathKV = "/control/v1/kv"
)

// SealRequest raises the fencing token of the engine to Token.
type SealRequest struct {
	Token cluster.FencingToken
}

// OrderRefusal is the body of the answer to a refused order or seal.
type OrderRefusal struct {
	// Reason is "stale-token", "not-sealed", "other-run", "unknown-model-base"
	// or "invalid".
	Reason string
	// Token is the fencing token that the engine holds.
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
	// Deadline is the time after which the engine need not start the request. Zero means no
	// deadline.
	Deadline time.Time
	Header   http.Header
}

// Answer is the answer of the engine, available once its header has arrived.
type Answer struct {
	Status int
	Header http.Header
	// Body must be closed. A read error before the end means that the stream broke.
	Body io.ReadCloser
}

// Inference runs requests. Errors are *verdict.Error: NotRun if the engine was never reached or
// confirmed that it did not start the request, and MayHaveRun otherwise.
type Inference interface {
	Run(ctx context.Context, call Call) (*Answer, error)
	// Resume continues the answer of an earlier attempt at the byte offset.
	Resume(ctx context.Context, call Call, offset int64) (*Answer, error)
	Cancel(ctx context.Context, call Call) error
}

// Control sends fenced orders and reads the state of engines. A refusal because of a stale token
// is a *StaleTokenError.
type Control interface {
	Seal(ctx context.Context, address string, token cluster.FencingToken) (cluster.Inventory, error)
	Inventory(ctx context.Context, address string) (cluster.Inventory, error)
	Order(ctx context.Context, address string, order cluster.Order) (cluster.Inventory, error)
	Report(ctx context.Context, address string) (cluster.LoadReport, error)
	CacheEvents(ctx context.Context, address string, after uint64) ([]cluster.CacheEvent, error)
}

// StaleTokenError means that the engine has accepted the token of a later controller.
type StaleTokenError struct {
	Held cluster.FencingToken
}

// Error implements error.
func (e *StaleTokenError) Error() string { return "engine holds a larger fencing token" }
