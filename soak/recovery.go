package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/valveslip/valveslip/soak/check"
)

const (
	// recoveryPollInterval is the time between two attempts to be served.
	recoveryPollInterval = 100 * time.Millisecond
	// readyState is the name under which a node's readiness is recorded.
	readyState = "ready"
)

// recover waits until every node is ready and serves every route, and records how long that
// took.
func (r *run) recover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryBound)
	defer cancel()
	began := time.Now()
	var waiting sync.WaitGroup
	for _, node := range r.nodes {
		waiting.Go(func() {
			node.awaitCondition(ctx, began, readyState, node.ready)
			for _, route := range check.Routes() {
				node.awaitCondition(ctx, began, string(route), node.recoveryProbe(ctx, route, &waiting))
			}
		})
	}
	waiting.Wait()
}

// awaitCondition polls until a condition holds or the context ends, and records the result.
func (p *process) awaitCondition(ctx context.Context, began time.Time, what string, holds func() bool) {
	reached := false
	for !reached && ctx.Err() == nil {
		if reached = holds(); !reached {
			time.Sleep(recoveryPollInterval)
		}
	}
	recovery := check.Recovery{Node: p.index, What: what, Took: time.Since(began), Reached: reached}
	p.recorder.record(func(h *check.History) { h.Recoveries = append(h.Recoveries, recovery) })
}

// recoveryProbe returns a function that tries a route once and reports whether it is served.
// Its requests are checked like all others. For a route with models it asks for all models at
// once, since it does not matter for recovery which of them workers hold while more are
// requested than fit. The wait group covers the requests that continue after the first answer.
func (p *process) recoveryProbe(ctx context.Context, route check.Route, waiting *sync.WaitGroup) func() bool {
	trial := 0
	// Kept connections of callers may be silent permanently, so each attempt opens new ones.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	return func() bool {
		trial++
		var requests []check.Request
		for _, model := range modelsOf(route) {
			requests = append(requests, check.Request{
				ID:   fmt.Sprintf("recovery-n%d-%s-%d%s", p.index, route, trial, model),
				Node: p.index, Route: route, Deadline: maxDeadline, Model: model,
			})
		}
		return p.sendUntilServed(ctx, client, requests, waiting)
	}
}

// modelsOf returns the models that requests of a route may ask for, and a single empty name
// for a route without models.
func modelsOf(route check.Route) []string {
	if !route.Streams() {
		return []string{""}
	}
	models := make([]string, modelCount)
	for n := range models {
		models[n] = modelName(n)
	}
	return models
}

// sendUntilServed sends all requests at once and returns true as soon as one is served, or
// false when all have ended without that.
func (p *process) sendUntilServed(ctx context.Context, client *http.Client, requests []check.Request, waiting *sync.WaitGroup) bool {
	outcomes := make(chan bool, len(requests))
	for _, request := range requests {
		waiting.Go(func() {
			p.exchange(ctx, client, &request)
			if ctx.Err() == nil {
				p.recorder.record(func(h *check.History) { h.Requests = append(h.Requests, request) })
			}
			outcomes <- request.Status == http.StatusOK && request.Failure == ""
		})
	}
	for range requests {
		if <-outcomes {
			return true
		}
	}
	return false
}
