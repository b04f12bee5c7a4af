package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valveslip/valveslip/platform"
)

const routeHost = "calls.example"

var requestNumber atomic.Int64

// call is one client attempt on a connection of its own.
type call struct {
	node                *node
	method, path, model string
	prompt, tokens      int
	deadline            time.Duration
	id                  string
}

// result is what the client saw.
type result struct {
	status   int
	retry    string
	events   int
	versions []string
	complete bool
	err      error
	took     time.Duration
}

func (r *result) String() string {
	text := fmt.Sprintf("status %d, %d events of versions %v, complete %t, %d ms", r.status, r.events, r.versions, r.complete, r.took.Milliseconds())
	if r.retry != "" {
		text += ", Retry-After " + r.retry
	}
	if r.err != nil {
		text += ", " + r.err.Error()
	}
	return text
}

// send makes the call and reads the whole answer.
func (c call) send(ctx context.Context) *result {
	if c.id == "" {
		c.id = fmt.Sprintf("%016x", 0x5eed0000+requestNumber.Add(1))
	}
	began := time.Now()
	c.node.rec.log("client: %s to node %d: %s %s", c.id, c.node.index+1, c.method, c.path)
	answer := c.exchange(ctx)
	answer.took = time.Since(began)
	c.node.rec.log("client: %s: %s", c.id, answer)
	return answer
}

func (c call) exchange(ctx context.Context) *result {
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	body := strings.Repeat("x", 2*c.prompt)
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+c.node.address()+c.path, strings.NewReader(body))
	if err != nil {
		return &result{err: err}
	}
	request.Host = routeHost
	request.Header.Set(platform.HeaderRequestID, c.id)
	request.Header.Set(platform.HeaderDeadline, strconv.FormatInt(c.deadline.Milliseconds(), 10))
	request.Header.Set(platform.HeaderModel, c.model)
	request.Header.Set(platform.HeaderTokens, fmt.Sprintf("%d,%d", c.prompt, c.tokens))
	request.Header.Set(platform.HeaderPrefix, fmt.Sprintf("%s:%d", c.id, c.prompt))
	dialer := net.Dialer{Timeout: time.Second}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext}}
	response, err := client.Do(request)
	if err != nil {
		return &result{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	answer := &result{status: response.StatusCode, retry: response.Header.Get(platform.HeaderRest)}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if version, found := strings.CutPrefix(lines.Text(), "data: "); found {
			answer.events++
			if !slices.Contains(answer.versions, version) {
				answer.versions = append(answer.versions, version)
			}
		}
	}
	answer.err = lines.Err()
	answer.complete = answer.err == nil
	return answer
}

// group runs calls concurrently and keeps their results in order.
type group struct {
	wait    sync.WaitGroup
	results []*result
}

func (g *group) send(ctx context.Context, c call) {
	slot := &result{}
	g.results = append(g.results, slot)
	g.wait.Add(1)
	go func() {
		defer g.wait.Done()
		*slot = *c.send(ctx)
	}()
}
