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
	// probeInterval is the time between two probes of one node. With many nodes it is longer,
	// so that all together get at most maxTotalProbesPerSecond, since most probes run on a
	// worker.
	probeInterval           = 200 * time.Millisecond
	maxTotalProbesPerSecond = 100
	// newVersionProbeInterval is the time between two probes of a node that does not serve the
	// newest version yet. Nodes refuse these probes, so they cost workers nothing.
	newVersionProbeInterval = 50 * time.Millisecond
	// probeDeadline is the deadline that probes state.
	probeDeadline = 1500 * time.Millisecond
)

// probedVersionOffsets are the versions to probe in turn, as distances from the newest one:
// the newest itself, older ones whose routes must be served, and one whose route must be gone.
var probedVersionOffsets = []int64{0, 1, check.MarkersKept - 1, 0, check.MarkersKept}

// probe requests the marker routes of versions from a node until the context ends. The first
// time at which the node serves the newest one shows how long that version took to be in
// force.
func (p *process) probe(ctx context.Context) {
	interval := max(probeInterval, time.Duration(len(p.nodes))*time.Second/maxTotalProbesPerSecond)
	seen := int64(0)
	for number := int64(0); ctx.Err() == nil; number++ {
		newest := p.configuration.newest()
		version, pause := newest, newVersionProbeInterval
		if seen == newest {
			version, pause = max(newest-probedVersionOffsets[number%int64(len(probedVersionOffsets))], 1), interval
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

// probeOnce sends one probe and returns whether the route was served. It records the probe
// unless the answer says nothing about the route or the node's process changed meanwhile.
func (p *process) probeOnce(ctx context.Context, version, number int64) bool {
	ctx, cancel := context.WithTimeout(ctx, check.AnswerLimit(probeDeadline))
	defer cancel()
	life, running := p.currentLife()
	if !running {
		return false
	}
	sent := p.recorder.elapsed()
	request := check.Request{ID: fmt.Sprintf("probe-n%d-%d", p.index, number), Deadline: probeDeadline}
	response, err := p.client.Do(p.newRequest(withIdleTracking(ctx), versionPath(version), &request))
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	after, _ := p.currentLife()
	inForce, told := routeExists(response.StatusCode)
	if err != nil || !told || after != life {
		return false
	}
	seen := check.Probe{Node: p.index, Life: life, Version: version, Sent: sent, Ended: p.recorder.elapsed(), InForce: inForce}
	p.recorder.record(func(h *check.History) { h.Probes = append(h.Probes, seen) })
	return inForce
}

// routeExists derives from an HTTP status whether the route exists. told is false if the
// status says nothing about that.
func routeExists(status int) (found, told bool) {
	switch status {
	case http.StatusOK, http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusInternalServerError:
		return true, true
	case http.StatusNotFound:
		return false, true
	}
	return false, false
}
