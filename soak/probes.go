package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/valveslip/valveslip/soak/check"
)

const (
	// probePause spaces probes of one node, so that at most probesInAll a second go to
	// all: most of them run on a worker.
	probePause  = 200 * time.Millisecond
	probesInAll = 100
	// awaitPause spaces probes of a node that does not serve the newest version yet. Nodes
	// refuse these, so that they cost workers nothing.
	awaitPause = 50 * time.Millisecond
	// probeDeadline is what probes state.
	probeDeadline = 1500 * time.Millisecond
)

// probedBack are the versions that are asked for in turn, counted back from the newest: its
// own route, older ones that must be served, and one that must be gone.
var probedBack = []int64{0, 1, check.MarkersKept - 1, 0, check.MarkersKept}

// probe asks a node over and over for the routes that versions add. The first time at which
// it serves the newest tells how long that took to be in force.
func (p *process) probe(ctx context.Context) {
	even := max(probePause, time.Duration(len(p.nodes))*time.Second/probesInAll)
	seen := int64(0)
	for number := int64(0); ctx.Err() == nil; number++ {
		newest := p.configuration.newest()
		version, pause := newest, awaitPause
		if seen == newest {
			version, pause = max(newest-probedBack[number%int64(len(probedBack))], 1), even
		}
		if p.probeOnce(ctx, version, number) {
			seen = max(seen, version)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// probeOnce records one probe whose answer tells something, and reports whether the route
// was there.
func (p *process) probeOnce(ctx context.Context, version, number int64) bool {
	ctx, cancel := context.WithTimeout(ctx, check.AnswerLimit(probeDeadline))
	defer cancel()
	life, running := p.present()
	if !running {
		return false
	}
	sent := p.recorder.now()
	request := check.Request{ID: fmt.Sprintf("probe-n%d-%d", p.index, number), Deadline: probeDeadline}
	response, err := p.client.Do(p.post(traceRest(ctx), versionPath(version), &request))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	after, _ := p.present()
	inForce, told := routed(response.StatusCode)
	if err != nil || !told || after != life {
		return false
	}
	seen := check.Probe{Node: p.index, Life: life, Version: version, Sent: sent, Ended: p.recorder.now(), InForce: inForce}
	p.recorder.record(func(h *check.History) { h.Probes = append(h.Probes, seen) })
	return inForce
}

// routed reads from a status whether there is a route; told is false when it says
// nothing of that.
func routed(status int) (found, told bool) {
	switch status {
	case http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		return true, true
	case http.StatusNotFound:
		return false, true
	}
	return false, false
}
