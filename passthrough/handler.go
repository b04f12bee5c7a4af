package passthrough

import (
	"context"
	"errors"
	"math"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/passthrough/retained"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/upstream"
	"github.com/valveslip/valveslip/verdict"
)

// Defaults and bounds of a Handler.
const (
	// DefaultMaxBodyBytes bounds a body until a configuration states a bound.
	DefaultMaxBodyBytes = 4 << 20
	// defaultDeadline applies if neither the caller nor the route states one.
	defaultDeadline = time.Minute
	// memoryFullRetryAfter is the Retry-After for a request whose body the node has no memory for:
	// about the duration of a usual request, whose memory is free again after it.
	memoryFullRetryAfter = time.Second
	// highestPriority converts ranks, of which 0 is the most urgent, to priorities, of which the
	// largest is.
	highestPriority = 9
	// lowestRank is the rank of background requests.
	lowestRank = 9
)

// Decider is the interface of the router that this package needs.
type Decider interface {
	relay.Decider
	// Now returns the time on the router's clock.
	Now() time.Time
}

// Config holds the settings and dependencies of a Handler.
type Config struct {
	// Catalog returns the current configuration, nil before the first one.
	Catalog func() *catalog.Compiled
	// CatalogReady is closed once Catalog returns the first configuration. Callers that arrive
	// earlier wait for it for a short time; if nil, none wait.
	CatalogReady <-chan struct{}
	Decider      Decider
	Dialect      Dialect
	Pool         *upstream.Pool
	// Self is this node. Peers holds the connections to other nodes, through which machines are
	// reached while Path says that this node's own path is lost.
	Self    cluster.NodeID
	Peers   *upstream.Pool
	Log     *eventlog.Log
	Metrics *Metrics
	// Closing reports whether callers should close their connections. If nil, they never should.
	Closing func() bool
	// Admits reports whether a request with the given deadline is still accepted. If nil, all are.
	Admits func(deadline time.Time) bool
	// NeedsFingerprint reports whether the fingerprint of a request with this head is needed. If
	// nil, only short bodies are fingerprinted.
	NeedsFingerprint func(head poison.Head) bool
	// FindKey returns the tenant of a key, by its hash, that the current configuration doesn't
	// contain: the key may have been added a moment ago. It waits until the key store of this node
	// is recent enough to rule the key out, and then returns nil. If FindKey is nil, unknown keys
	// are refused at once.
	FindKey func(ctx context.Context, hash string) (*catalog.Tenant, *verdict.Error)
	// MaySend returns, right before a send, why a request must no longer be sent. If nil, every
	// send is allowed.
	MaySend func(id cluster.RequestID) *verdict.Error
	// Path observes the connections to machines. If nil, requests are only sent directly.
	Path Path
	// EntriesInclude reports whether a process that listened the given time ago has written its entry by now, and
	// this node has read it. It serves for machines that don't state their start. If nil, that is never known.
	EntriesInclude func(listened time.Duration) bool
	// NewID returns an ID for a request without one.
	NewID func() cluster.RequestID
	// MayAccept reports whether another request may be accepted and, if not, how late the process
	// runs tasks that are ready. If nil, all are accepted.
	MayAccept func() (late time.Duration, may bool)
	// MaxActiveRequests bounds the number of active requests; zero means no bound.
	MaxActiveRequests int
	// Retained bounds the bytes that are held for requests and answers; nil means no bound.
	Retained *retained.Account
}

// Handler serves the requests of callers.
type Handler struct {
	Config
	splitCounters sync.Map
	// startWaiters counts the callers that wait for the first configuration.
	startWaiters atomic.Int64
	// activeRequests counts the requests whose handlers run.
	activeRequests atomic.Int64
	// unanswered counts the requests that were read and whose handlers run.
	unanswered atomic.Int64
	// now returns the time on the router's clock, which all deadlines of requests use. Timeouts of
	// the kernel and of timers are set from the time that is left.
	now func() time.Time
	// createdAt is when the handler was created, at the start of its process.
	createdAt time.Time
}

func NewHandler(config Config) *Handler {
	h := &Handler{Config: config, now: time.Now}
	if config.Decider != nil {
		h.now = config.Decider.Now
	}
	h.createdAt = h.now()
	return h
}

// Unanswered returns the number of requests that were read and whose answers have not been written. The router may have
// ended them: a buffered answer is written after that.
func (h *Handler) Unanswered() int { return int(h.unanswered.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if bodyRead := h.serve(w, r); !bodyRead {
		discardBody(w, r)
	}
}

// serve serves a request. It returns false if it refused the request before the whole body was read.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request) (bodyRead bool) {
	arrived := h.now()
	if h.Closing != nil && h.Closing() {
		w.Header().Set("Connection", "close")
	}
	defer h.activeRequests.Add(-1)
	if failure := h.checkOverload(h.activeRequests.Add(1)); failure != nil {
		// The caller's next try needs another connection, and closing this one frees its memory.
		w.Header().Set("Connection", "close")
		h.rejectRequest(w, r, failure)
		return false
	}
	compiled := h.awaitCatalog(r)
	if compiled == nil {
		h.rejectRequest(w, r, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no configuration is known yet").After(h.startRetryAfter()))
		return false
	}
	route := compiled.Table.Find(r.Host, r.URL.EscapedPath())
	if route == nil {
		h.rejectRequest(w, r, verdict.New(verdict.NotRun, verdict.CodeModelNotFound, "there is no such route"))
		return false
	}
	caller, failure := h.authenticate(compiled, route, r)
	if failure != nil {
		h.rejectRequest(w, r, failure)
		return false
	}
	attributes := h.Dialect.ReadCaller(r.Header)
	deadline := arrived.Add(requestTimeout(route, &attributes))
	reserved := retained.NewHold(h.Retained)
	defer reserved.Release()
	body, failure := readBody(w, r, reserved, compiled.Limits.MaxBodyBytes, deadline.Sub(arrived))
	if failure != nil {
		h.rejectRequest(w, r, failure)
		return false
	}
	defer h.unanswered.Add(-1)
	h.unanswered.Add(1)
	current := h.newExchange(w, r, compiled, route, body, &attributes)
	current.arrived, current.deadline = arrived, deadline
	current.credential, current.keyed, current.reserved = caller, compiled.RequiresKeys(), reserved
	current.recordFingerprint()
	h.Log.Write(eventlog.RequestAccepted{
		Request: current.id, Route: route.Name, Version: compiled.Version, Work: current.model,
		Left: current.deadline.Sub(arrived), Attempts: route.Attempts, Unread: strings.Join(attributes.InvalidFields, ","),
		Content: current.content.String(), Tenant: current.tenantName(),
		Tokens: attributes.PromptTokens + attributes.MaxTokens,
		Prompt: attributes.PromptTokens, Longest: route.LongestPause, Resumes: attributes.Resumes,
		Parts: joinParts(attributes.sharedParts()),
	})
	if h.Admits != nil && !h.Admits(current.deadline) {
		failure := verdict.New(verdict.NotRun, verdict.CodeNodeDraining, "this node is stopping; another one takes the request")
		current.end(failure.After(minRetryAfter), routing.Explanation{})
		return true
	}
	current.run()
	return true
}

// readBody reads the whole body within the size bound and until the deadline of the request.
// Without the deadline, a caller that stops in the middle of the body would occupy the handler for
// as long as it stays connected. The bytes are reserved while they are held.
func readBody(w http.ResponseWriter, r *http.Request, reserved *retained.Hold, maxBytes int64, timeout time.Duration) ([]byte, *verdict.Error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	if maxBytes <= 0 {
		maxBytes = DefaultMaxBodyBytes
	}
	if r.ContentLength > maxBytes {
		return nil, verdict.New(verdict.NotRun, verdict.CodeRequestTooLarge, "the body is larger than %d bytes", maxBytes)
	}
	connection := http.NewResponseController(w)
	bounded := connection.SetReadDeadline(time.Now().Add(timeout)) == nil
	body, complete, err := reserved.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength)
	if err == nil && !complete {
		// Otherwise the server would read the rest of the body to reuse the connection.
		w.Header().Set("Connection", "close")
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this node has no room for the body now").After(memoryFullRetryAfter)
	}
	if err == nil && bounded {
		// After an error the read deadline stays: the server would otherwise wait for the rest of
		// the body.
		_ = connection.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeDeadlineExceeded, "the body did not come in time")
	case errors.As(err, &tooLarge):
		return nil, verdict.New(verdict.NotRun, verdict.CodeRequestTooLarge, "the body is larger than %d bytes", maxBytes)
	case err != nil:
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "the body was cut")
	}
	return body, nil
}

// newExchange returns the exchange of a request.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request, compiled *catalog.Compiled, route *catalog.Route, body []byte, attributes *Attributes) *exchange {
	id := attributes.RequestID
	if id == "" {
		id = h.NewID()
	}
	service := route.PickService(h.splitPosition(route.Name))
	return &exchange{
		Handler: h, writer: w, request: r, route: route, attributes: *attributes, body: body, id: id,
		header: endToEnd(r.Header), model: modelOf(compiled.Service(service), service, attributes),
		lastEventID: attributes.LastEventID,
	}
}

// splitPosition returns successive numbers that are evenly spread over [0, 1) for each route, so
// that the weights of a traffic split hold for a few requests too.
func (h *Handler) splitPosition(route string) float64 {
	counter, _ := h.splitCounters.LoadOrStore(route, new(atomic.Uint64))
	n := counter.(*atomic.Uint64).Add(1)
	_, fraction := math.Modf(float64(n) * (math.Sqrt(5) - 1) / 2)
	return fraction
}

// requestTimeout returns the time limit of the request: the caller's, bounded by the route's.
func requestTimeout(route *catalog.Route, attributes *Attributes) time.Duration {
	allowed := attributes.Deadline
	if route.Timeout > 0 && (allowed == 0 || route.Timeout < allowed) {
		allowed = route.Timeout
	}
	if allowed == 0 {
		return defaultDeadline
	}
	return allowed
}

// modelOf returns the ID of the service, model or adapter that a machine must have loaded to run
// the request.
func modelOf(service *catalog.Service, name string, attributes *Attributes) cluster.ModelID {
	switch {
	case service == nil || service.Engine == nil:
		return catalog.ServiceID(name)
	case attributes.Adapter == "":
		return catalog.ModelID(name, attributes.Model)
	}
	return catalog.AdapterID(name, attributes.Model, attributes.Adapter)
}

// prefixHashes returns the hashes of the prompt prefixes that end after each part, shortest first.
func prefixHashes(parts []PromptPart) []uint64 {
	hashes := make([]uint64, 0, len(parts))
	digest := xxhash.New()
	var word [8]byte
	for _, part := range parts {
		for i := range word {
			word[i] = byte(part.ID >> (8 * i))
		}
		_, _ = digest.Write(word[:])
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// prefixTokens returns the token counts of the prompt prefixes that end after each part, shortest
// first.
func prefixTokens(parts []PromptPart) []int {
	sums := make([]int, len(parts))
	sum := 0
	for i := range parts {
		sum += parts[i].Tokens
		sums[i] = sum
	}
	return sums
}

// splitList splits the value of a list field at commas.
func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

// isRetry reports whether the caller has tried before: the caller has less time left than the
// timeout of the route.
func (e *exchange) isRetry() bool {
	return e.attributes.Deadline > 0 && e.attributes.Deadline < e.route.Timeout
}

// routingRequest returns the request in the form that the router needs.
func (e *exchange) routingRequest() routing.Request {
	request := routing.Request{
		ID: e.id, Model: e.model, TokenPath: "/", Priority: highestPriority - e.rank(),
		Deadline: e.deadline, Objective: e.route.Objective,
		Patience: e.route.Patience, Returned: e.isRetry(), Repeatable: e.route.Repeatable(), BodyBytes: int64(len(e.body)),
		PromptTokens: e.attributes.PromptTokens, MaxTokens: e.attributes.MaxTokens,
		LengthHint: e.attributes.LengthHint, LongestPause: e.route.LongestPause,
		Attempts: max(e.route.Attempts, 1), Resumable: e.route.Resumable, Content: e.content, Caller: e.callerHash(),
	}
	request.Continues, request.Resumes = e.attributes.LastEventID != "", e.attributes.Resumes
	request.Credential, request.Public = e.credential.hash, e.route.Public
	if tenant := e.credential.tenant; tenant != nil {
		request.Tenant, request.Rank = tenant.Name, e.route.Priority
	}
	if shared := e.attributes.sharedParts(); len(shared) > 0 {
		request.Prefixes, request.PrefixTokens = prefixHashes(shared), prefixTokens(shared)
		request.Parts = partFingerprints(shared)
	}
	return request
}
