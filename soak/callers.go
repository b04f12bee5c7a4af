package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/soak/check"
)

const (
	// callsPerSecond go to each node, wherever it is in its life, and at most
	// callsInAll to all together: with the probes half of what the workers of the two
	// plain services can run, so that requests are served also where nodes are many.
	callsPerSecond = 12
	callsInAll     = 240
	// keptInAll bounds the connections that all callers together keep for their next
	// requests. Without it those of a standstill of all nodes, three open files each, last
	// for another 30 s.
	keptInAll = 1000
	// Deadlines that callers state lie between these.
	minDeadline = 1200 * time.Millisecond
	maxDeadline = 4 * time.Second
	// idleConnection is how long callers keep a connection: shorter than the
	// configuration has nodes keep it.
	idleConnection = 30 * time.Second
	// adapterShare of the requests for models ask for an adapter; hotShare for the
	// first model.
	adapterShare = 0.2
	hotShare     = 0.4
	// maxAnswer bounds an answer.
	maxAnswer = 1 << 20
)

// newClient returns the client of the node's callers. It keeps connections for as long
// as the node lets it.
func (p *process) newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: p.dial, MaxIdleConnsPerHost: kept(p.options.Schedule.Nodes), IdleConnTimeout: idleConnection, DisableCompression: true,
	}}
}

// kept bounds the connections to one of so many nodes that rest.
func kept(nodes int) int { return min(maxCalls(nodes), keptInAll/nodes) }

// callers sends requests to one node at an even pace until the context ends; the
// draws follow from the seed.
type callers struct {
	*process
	random *rand.Rand
	// prefix begins the identifiers of the requests.
	prefix string
	// pace is the time between two calls.
	pace    time.Duration
	number  int
	pending sync.WaitGroup
	gate    chan struct{}
}

func newCallers(p *process) *callers {
	seed := p.options.Schedule.Seed
	return &callers{
		process: p, random: rand.New(rand.NewPCG(seed, uint64(p.index))), pace: pace(len(p.nodes)),
		gate: make(chan struct{}, maxCalls(len(p.nodes))),
	}
}

// pace is the time between two calls to one of so many nodes.
func pace(nodes int) time.Duration {
	return max(time.Second/callsPerSecond, time.Duration(nodes)*time.Second/callsInAll)
}

// maxCalls bounds the calls under way at one of so many nodes: those of the time that
// one may take at most.
func maxCalls(nodes int) int { return int(check.AnswerLimit(maxDeadline)/pace(nodes)) + 1 }

// run sends until the context ends and waits for what is under way.
func (c *callers) run(ctx context.Context) {
	ticker := time.NewTicker(c.pace)
	defer ticker.Stop()
	for ctx.Err() == nil {
		request := c.draw()
		select {
		case c.gate <- struct{}{}:
			c.pending.Go(func() {
				defer func() { <-c.gate }()
				c.send(ctx, request)
			})
		default:
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	c.pending.Wait()
}

// draw makes the next request.
func (c *callers) draw() check.Request {
	c.number++
	routes := check.Routes()
	request := check.Request{
		ID: fmt.Sprintf("%sn%d-%d", c.prefix, c.index, c.number), Node: c.index, Route: routes[c.random.IntN(len(routes))],
		Deadline: minDeadline + time.Duration(c.random.Int64N(int64(maxDeadline-minDeadline))).Truncate(time.Millisecond),
	}
	if request.Route.Streams() {
		request.Model = c.model()
	}
	return request
}

// model draws a model, one of them far more often than the others.
func (c *callers) model() string {
	name := modelName(0)
	if c.random.Float64() >= hotShare {
		name = modelName(c.random.IntN(modelCount))
	}
	if c.random.Float64() < adapterShare {
		name += "/" + catalog.AdapterName(1+c.random.IntN(adapters))
	}
	return name
}

// send sends a request, records it, and has a stream that was cut continued by
// another request. What the run's end interrupts is not recorded.
func (c *callers) send(ctx context.Context, request check.Request) {
	c.exchange(ctx, c.client, &request)
	if ctx.Err() != nil {
		return
	}
	c.recorder.record(func(h *check.History) { h.Requests = append(h.Requests, request) })
	got := request.After + strings.Count(request.Body, "\n\n")
	if request.Route == check.RouteStream && request.Failure != "" && got > request.After {
		next := check.Request{
			ID: request.ID + "+", Node: request.Node, Route: request.Route, Model: request.Model, Deadline: request.Deadline, After: got,
		}
		c.send(ctx, next)
	}
}

// exchange sends one request and reads its answer into it.
func (p *process) exchange(ctx context.Context, client *http.Client, request *check.Request) {
	ctx, cancel := context.WithTimeout(ctx, check.AnswerLimit(request.Deadline))
	defer cancel()
	request.Sent = p.recorder.now()
	response, err := client.Do(p.build(traceRest(ctx), request))
	if err == nil {
		var body []byte
		body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswer))
		_ = response.Body.Close()
		request.Status, request.Body, request.Leave = response.StatusCode, string(body), response.Close
		request.EchoedID, request.Stamp = response.Header.Get(platform.HeaderRequestID), response.Header.Get(platform.HeaderStamp)
	}
	request.Ended = p.recorder.now()
	if err != nil {
		request.Failure = err.Error()
	}
}

// build makes the HTTP request.
func (p *process) build(ctx context.Context, request *check.Request) *http.Request {
	return p.post(ctx, "/"+string(request.Route)+"/", request)
}

// post makes an HTTP request for a path.
func (p *process) post(ctx context.Context, path string, request *check.Request) *http.Request {
	built, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.callers.Address()+path, strings.NewReader(check.Body(request.ID)))
	if err != nil {
		p.fail(err)
		built = &http.Request{}
	}
	built.Host = routeHost
	built.Header.Set(platform.HeaderRequestID, request.ID)
	built.Header.Set(platform.HeaderDeadline, strconv.FormatInt(request.Deadline.Milliseconds(), 10))
	if request.Key != "" {
		built.Header.Set(platform.HeaderAuthorization, "Bearer "+request.Key)
	}
	if strings.HasPrefix(request.ID, check.PoisonPrefix) {
		built.Header.Set("Authorization", poisonCredential)
	}
	if request.Model != "" {
		built.Header.Set(platform.HeaderModel, request.Model)
	}
	if request.After > 0 {
		built.Header.Set(platform.HeaderLastEvent, strconv.Itoa(request.After))
	}
	return built
}
