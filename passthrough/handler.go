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

// Bounds of a Handler.
const (
	// defaultMaxBody holds until a configuration states a bound.
	defaultMaxBody = 4 << 20
	// defaultDeadline holds where neither the caller nor the route states one.
	defaultDeadline = time.Minute
	// fullRetryAfter is when a caller should come back whose body the node has no room for:
	// about as long as a usual request, with which its room is given back, takes.
	fullRetryAfter = time.Second
	// highestPriority turns ranks, of which 0 goes first, into priorities, of
	// which the largest goes first.
	highestPriority = 9
	// lowestRank is that of requests which give way to all others.
	lowestRank = 9
)

// Decider is the deciding core as this package uses it.
type Decider interface {
	relay.Decider
	// Now is the core's clock.
	Now() time.Time
}

// Config holds what a Handler needs.
type Config struct {
	// Catalog returns the configuration in force, nil before the first.
	Catalog func() *catalog.Compiled
	// Known is closed once Catalog returns the first configuration: callers who come before
	// wait for that a little. Nil has none wait.
	Known   <-chan struct{}
	Decider Decider
	Dialect Dialect
	Pool    *upstream.Pool
	Log     *eventlog.Log
	Metrics *Metrics
	// Closing reports whether callers are to leave their connections; nil means
	// that they never are.
	Closing func() bool
	// Admits reports whether a request that must have ended by the deadline is
	// still taken; nil takes all.
	Admits func(deadline time.Time) bool
	// KnowsPoison reports whether the fingerprint of a request with this head matters; nil
	// wants none but those of short bodies.
	KnowsPoison func(head poison.Head) bool
	// FindKey returns the tenant that holds the key of a hash which the configuration in
	// force doesn't name: one that was added a moment ago. It waits until what this node
	// knows is new enough to say that there is none, and returns nil then; nil asks nobody.
	FindKey func(ctx context.Context, hash string) (*catalog.Tenant, *verdict.Error)
	// MaySend says in the instant of a send why a request must not be sent any more; nil
	// allows all.
	MaySend func(id cluster.RequestID) *verdict.Error
	// NewID makes an identifier for a request without one.
	NewID func() cluster.RequestID
	// MayTake says whether one more request may be taken, and how late the process carries
	// out what is ready to run where it may not; nil takes all.
	MayTake func() (late time.Duration, may bool)
	// MostUnderWay is how many requests are under way at most; zero for any.
	MostUnderWay int
	// Retained counts the bytes that are kept of requests and answers; nil allows any.
	Retained *retained.Account
}

// Handler serves callers.
type Handler struct {
	Config
	draws sync.Map
	// startWaits counts the callers that wait for the first configuration.
	startWaits atomic.Int64
	// underWay counts the requests whose handlers run.
	underWay atomic.Int64
	// now is the core's clock, by which requests have their time. What is bounded by the
	// kernel or a timer is bounded by what is left of it.
	now func() time.Time
	// began is when the handler was made, at the start of its process.
	began time.Time
}

// NewHandler returns a Handler.
func NewHandler(config Config) *Handler {
	h := &Handler{Config: config, now: time.Now}
	if config.Decider != nil {
		h.now = config.Decider.Now
	}
	h.began = h.now()
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := h.now()
	if h.Closing != nil && h.Closing() {
		w.Header().Set("Connection", "close")
	}
	defer h.underWay.Add(-1)
	if failure := h.overloaded(h.underWay.Add(1)); failure != nil {
		// Its next try is another connection's, and what this one keeps is needed.
		w.Header().Set("Connection", "close")
		h.turnAway(w, r, failure)
		return
	}
	compiled := h.knownCatalog(r)
	if compiled == nil {
		h.turnAway(w, r, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no configuration is known yet").After(h.startRetryAfter()))
		return
	}
	route := compiled.Table.Find(r.Host, r.URL.EscapedPath())
	if route == nil {
		h.turnAway(w, r, verdict.New(verdict.NotRun, verdict.CodeModelNotFound, "there is no such route"))
		return
	}
	caller, failure := h.authenticate(compiled, route, r)
	if failure != nil {
		h.turnAway(w, r, failure)
		return
	}
	attributes := h.Dialect.ReadCaller(r.Header)
	deadline := arrived.Add(allowedTime(route, &attributes))
	keeps := retained.NewHold(h.Retained)
	defer keeps.Release()
	body, failure := readBody(w, r, keeps, compiled.Limits.MaxBodyBytes, deadline.Sub(arrived))
	if failure != nil {
		h.turnAway(w, r, failure)
		return
	}
	current := h.newExchange(w, r, compiled, route, body, &attributes)
	current.arrived, current.deadline = arrived, deadline
	current.credential, current.keyed, current.keeps = caller, compiled.Keyed(), keeps
	current.takeContent()
	h.Log.Write(eventlog.RequestAccepted{
		Request: current.id, Route: route.Name, Version: compiled.Version, Work: current.work,
		Left: current.deadline.Sub(arrived), Attempts: route.Attempts, Unread: strings.Join(attributes.Unread, ","),
		Content: current.content.String(), Tenant: current.tenantName(),
		Tokens: attributes.PromptTokens + attributes.MaxTokens,
		Prompt: attributes.PromptTokens, Longest: route.LongestPause,
	})
	if h.Admits != nil && !h.Admits(current.deadline) {
		failure := verdict.New(verdict.NotRun, verdict.CodeNodeDraining, "this node is stopping; another one takes the request")
		current.end(failure.After(minRetryAfter), routing.Explanation{})
		return
	}
	current.run()
}

// readBody reads the whole body, whose size is bounded, until the request's deadline: a
// caller that stops in its middle would hold the handler for as long as it stays. What is
// read counts among the bytes that the node keeps.
func readBody(w http.ResponseWriter, r *http.Request, keeps *retained.Hold, most int64, allowed time.Duration) ([]byte, *verdict.Error) {
	if r.Body == http.NoBody {
		return nil, nil
	}
	if most <= 0 {
		most = defaultMaxBody
	}
	if r.ContentLength > most {
		return nil, verdict.New(verdict.NotRun, verdict.CodeRequestTooLarge, "the body is larger than %d bytes", most)
	}
	connection := http.NewResponseController(w)
	bounded := connection.SetReadDeadline(time.Now().Add(allowed)) == nil
	body, whole, err := keeps.ReadAll(http.MaxBytesReader(w, r.Body, most), r.ContentLength)
	if err == nil && !whole {
		// The server would read on, to keep the connection.
		w.Header().Set("Connection", "close")
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this node has no room for the body now").After(fullRetryAfter)
	}
	if err == nil && bounded {
		// Kept on an error: the server would wait for the rest of the body otherwise.
		_ = connection.SetReadDeadline(time.Time{})
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeDeadlineExceeded, "the body did not come in time")
	case errors.As(err, &tooLarge):
		return nil, verdict.New(verdict.NotRun, verdict.CodeRequestTooLarge, "the body is larger than %d bytes", most)
	case err != nil:
		return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalidRequest, "the body was cut")
	}
	return body, nil
}

// newExchange gathers what is known of a request.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request, compiled *catalog.Compiled, route *catalog.Route, body []byte, attributes *Attributes) *exchange {
	id := attributes.RequestID
	if id == "" {
		id = h.NewID()
	}
	service := route.Pick(h.draw(route.Name))
	return &exchange{
		Handler: h, writer: w, request: r, route: route, attributes: *attributes, body: body, id: id,
		header: endToEnd(r.Header), work: workOf(compiled.Service(service), service, attributes),
		lastEvent: attributes.LastEventID,
	}
}

// draw returns numbers that are even over [0, 1) for each route, so that parts
// of a split get their weights also over few requests.
func (h *Handler) draw(route string) float64 {
	counter, _ := h.draws.LoadOrStore(route, new(atomic.Uint64))
	n := counter.(*atomic.Uint64).Add(1)
	_, fraction := math.Modf(float64(n) * (math.Sqrt(5) - 1) / 2)
	return fraction
}

// allowedTime is the time that the request has: the caller's, bounded by the
// route's.
func allowedTime(route *catalog.Route, attributes *Attributes) time.Duration {
	allowed := attributes.Deadline
	if route.Timeout > 0 && (allowed == 0 || route.Timeout < allowed) {
		allowed = route.Timeout
	}
	if allowed == 0 {
		return defaultDeadline
	}
	return allowed
}

// workOf names what must be loaded where the request runs.
func workOf(service *catalog.Service, name string, attributes *Attributes) cluster.ModelID {
	switch {
	case service == nil || service.Engine == nil:
		return catalog.ServiceID(name)
	case attributes.Adapter == "":
		return catalog.ModelID(name, attributes.Model)
	}
	return catalog.AdapterID(name, attributes.Model, attributes.Adapter)
}

// chain returns the hashes of the prompt's beginnings, shortest first. The last
// part belongs to the request alone, unless it is a session's.
func chain(parts []PromptPart) []uint64 {
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

// lengths returns the tokens of the prompt's beginnings, shortest first.
func lengths(parts []PromptPart) []int {
	sums := make([]int, len(parts))
	sum := 0
	for i := range parts {
		sum += parts[i].Tokens
		sums[i] = sum
	}
	return sums
}

// splitList splits the value of a list field.
func splitList(value string) []string {
	parts := strings.Split(value, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}

// returned reports whether the caller has tried before: it has less time left than the
// route gives.
func (e *exchange) returned() bool {
	return e.attributes.Deadline > 0 && e.attributes.Deadline < e.route.Timeout
}

// routingRequest is the request as the core knows it.
func (e *exchange) routingRequest() routing.Request {
	request := routing.Request{
		ID: e.id, Model: e.work, TokenPath: "/", Priority: highestPriority - e.rank(),
		Deadline: e.deadline, Objective: e.route.Objective,
		Patience: e.route.Patience, Returned: e.returned(), Repeatable: e.route.Repeatable(), BodyBytes: int64(len(e.body)),
		PromptTokens: e.attributes.PromptTokens, MaxTokens: e.attributes.MaxTokens,
		LengthHint: e.attributes.LengthHint, LongestPause: e.route.LongestPause,
		Attempts: max(e.route.Attempts, 1), Resumable: e.route.Resumable, Content: e.content, Caller: e.caller(),
	}
	request.Credential, request.Public = e.credential.hash, e.route.Public
	if tenant := e.credential.tenant; tenant != nil {
		request.Tenant, request.Rank = tenant.Name, e.route.Priority
	}
	if len(e.attributes.Parts) > 1 {
		shared := e.attributes.Parts[:len(e.attributes.Parts)-1]
		request.Prefixes, request.PrefixTokens = chain(shared), lengths(shared)
	}
	return request
}
