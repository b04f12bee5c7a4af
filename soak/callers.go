package soak

import (
	"context"
	"errors"
	"fmt"
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
	// callsPerSecond is the call rate per node, whatever the state of its process.
	// maxTotalCallsPerSecond limits the calls to all nodes together. Together with the probes
	// that is half of what the workers of the two plain services can run, so that requests are
	// served even with many nodes.
	callsPerSecond         = 12
	maxTotalCallsPerSecond = 240
	// maxIdleConnections limits the idle connections that all callers together keep open.
	// Without the limit, the connections left by a pause of all nodes, with three file
	// descriptors each, stay open for another 30 s.
	maxIdleConnections = 1000
	// minDeadline and maxDeadline bound the deadlines that callers state.
	minDeadline = 1200 * time.Millisecond
	maxDeadline = 4 * time.Second
	// idleConnectionTimeout is how long callers keep an idle connection. It is shorter than
	// the idle timeout of the nodes in the configuration (idleMS), so that callers close
	// first.
	idleConnectionTimeout = 30 * time.Second
	// adapterShare is the share of model requests that ask for an adapter, hotModelShare the
	// share that is always for the first model.
	adapterShare  = 0.2
	hotModelShare = 0.4
	// maxAnswerBytes limits how much of an answer is read.
	maxAnswerBytes = 1 << 20
)

// newClient returns the HTTP client of the node's callers. It keeps connections open for reuse
// as long as the node permits.
func (p *process) newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext: p.dial, MaxIdleConnsPerHost: maxIdlePerNode(p.options.Schedule.Nodes), IdleConnTimeout: idleConnectionTimeout, DisableCompression: true,
	}}
}

// maxIdlePerNode returns the limit of idle connections to one node in a deployment of the
// given number of nodes.
func maxIdlePerNode(nodes int) int { return min(maxOpenCalls(nodes), maxIdleConnections/nodes) }

// callGenerator sends requests to one node at a constant rate until its context ends. The
// sequence of requests follows from the seed.
type callGenerator struct {
	*process
	random *rand.Rand
	// prefix begins the identifiers of the requests.
	prefix string
	// callInterval is the time between two calls.
	callInterval time.Duration
	number       int
	pending      sync.WaitGroup
	openCalls    chan struct{}
	// shared limits the open calls of all bursts together; nil for no limit.
	shared chan struct{}
}

func newCallers(p *process) *callGenerator {
	seed := p.options.Schedule.Seed
	return &callGenerator{
		process: p, random: rand.New(rand.NewPCG(seed, uint64(p.index))), callInterval: callIntervalFor(len(p.nodes)),
		openCalls: make(chan struct{}, maxOpenCalls(len(p.nodes))),
	}
}

// callIntervalFor returns the time between two calls to one node in a deployment of the given
// number of nodes.
func callIntervalFor(nodes int) time.Duration {
	return max(time.Second/callsPerSecond, time.Duration(nodes)*time.Second/maxTotalCallsPerSecond)
}

// maxOpenCalls returns the limit of open calls to one node in a deployment of the given number
// of nodes: as many as are sent during the longest time that a call may take.
func maxOpenCalls(nodes int) int {
	return int(check.AnswerLimit(maxDeadline)/callIntervalFor(nodes)) + 1
}

// run sends requests until the context ends and then waits for the open ones.
func (c *callGenerator) run(ctx context.Context) {
	ticker := time.NewTicker(c.callInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		request := c.drawRequest()
		if c.reserve() {
			c.pending.Go(func() {
				defer c.release()
				c.send(ctx, request)
			})
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
	c.pending.Wait()
}

// reserve reserves one open call and reports whether there is room for it. A call without room is not sent.
func (c *callGenerator) reserve() bool {
	select {
	case c.openCalls <- struct{}{}:
	default:
		return false
	}
	if c.shared == nil {
		return true
	}
	if !c.filesScarce.Load() {
		select {
		case c.shared <- struct{}{}:
			return true
		default:
		}
	}
	<-c.openCalls
	return false
}

// release ends the reservation of an open call.
func (c *callGenerator) release() {
	<-c.openCalls
	if c.shared != nil {
		<-c.shared
	}
}

// drawRequest draws the next request.
func (c *callGenerator) drawRequest() check.Request {
	c.number++
	routes := check.Routes()
	request := check.Request{
		ID: fmt.Sprintf("%sn%d-%d", c.prefix, c.index, c.number), Node: c.index, Route: routes[c.random.IntN(len(routes))],
		Deadline: minDeadline + time.Duration(c.random.Int64N(int64(maxDeadline-minDeadline))).Truncate(time.Millisecond),
	}
	if request.Route.Streams() {
		request.Model, request.Deadline = c.drawModel(), c.streamDeadline(request.Deadline)
	}
	c.decideLeaving(&request)
	return request
}

// drawModel draws a model name. The first model is drawn far more often than the others.
func (c *callGenerator) drawModel() string {
	name := modelName(0)
	if c.random.Float64() >= hotModelShare {
		name = modelName(c.random.IntN(modelCount))
	}
	if c.random.Float64() < adapterShare {
		name += "/" + catalog.AdapterName(1+c.random.IntN(adaptersPerModel))
	}
	return name
}

// send sends a request and records it. If a resumable stream was cut, it resumes the stream
// with another request. Requests interrupted by the end of the run are not recorded.
func (c *callGenerator) send(ctx context.Context, request check.Request) {
	if c.skew(&request) {
		c.nodes[request.Node].exchangeOnNewConnection(ctx, &request)
	} else {
		at := c.nodes[request.Node]
		at.exchange(ctx, at.client, &request)
	}
	if ctx.Err() != nil {
		return
	}
	c.recorder.record(func(h *check.History) { h.Requests = append(h.Requests, request) })
	next, resumes := c.resumption(&request)
	if !resumes {
		return
	}
	if next.FailedTries > 0 {
		c.sleepUntil(time.Now().Add(takeUpPause))
	}
	if ctx.Err() == nil {
		c.send(ctx, next)
	}
}

// exchange sends one request and stores its answer in it.
func (p *process) exchange(ctx context.Context, client *http.Client, request *check.Request) {
	ctx, cancel := context.WithTimeout(ctx, check.AnswerLimit(request.Deadline))
	defer cancel()
	request.Sent = p.recorder.elapsed()
	response, err := client.Do(p.newRouteRequest(withIdleTracking(ctx), request))
	if err == nil {
		var body []byte
		body, err = readAnswer(response.Body, request.LeavesAfter)
		_ = response.Body.Close()
		request.Status, request.Body, request.ClosesConnection = response.StatusCode, string(body), response.Close
		request.EchoedID, request.Stamp = response.Header.Get(platform.HeaderRequestID), response.Header.Get(platform.HeaderStamp)
	}
	request.Ended = p.recorder.elapsed()
	if err != nil {
		request.Failure, request.Left, request.TooLong = err.Error(), errors.Is(err, errLeft), errors.Is(err, errAnswerTooLong)
	}
}

// newRouteRequest returns the HTTP request for the route of a request.
func (p *process) newRouteRequest(ctx context.Context, request *check.Request) *http.Request {
	return p.newRequest(ctx, "/"+string(request.Route)+"/", request)
}

// newRequest returns the HTTP request for a path.
func (p *process) newRequest(ctx context.Context, path string, request *check.Request) *http.Request {
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
	setPrompt(built.Header, request)
	if request.Model != "" {
		built.Header.Set(platform.HeaderModel, request.Model)
	}
	if request.After > 0 {
		built.Header.Set(platform.HeaderLastEvent, strconv.Itoa(request.After))
		built.Header.Set(platform.HeaderResumes, request.Resumes)
	}
	return built
}
