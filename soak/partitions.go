package soak

import (
	"net/netip"
	"time"

	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/plan"
	"github.com/valveslip/valveslip/soak/proxy"
)

// partitionKinds maps kinds of faults to how nodes are cut off from workers.
var partitionKinds = map[plan.Kind]proxy.Partition{
	plan.PathHang: proxy.PartitionHang, plan.PathSilence: proxy.PartitionSilence,
	plan.PathReset: proxy.PartitionReset, plan.PathRefuse: proxy.PartitionRefuse,
}

// partition is one cut of a node from all workers.
type partition struct{ kind proxy.Partition }

// cutOff cuts a node off from all workers for the given time. A later cut of the same node replaces an
// earlier one.
func (r *run) cutOff(node int, kind proxy.Partition, length time.Duration) {
	restored := r.recorder.beginDisturbance(check.Disturbance{Node: node, Scope: check.ScopePath, From: r.recorder.elapsed()})
	current := &partition{kind: kind}
	r.mu.Lock()
	r.partitions[node] = current
	proxies := r.workerProxies
	r.mu.Unlock()
	for _, p := range proxies {
		r.failOn(p.CutOff(kind, r.nodes[node].source()))
	}
	r.undoAfter(length, func() {
		r.mu.Lock()
		latest := r.partitions[node] == current
		if latest {
			delete(r.partitions, node)
		}
		proxies := r.workerProxies
		r.mu.Unlock()
		if latest {
			for _, p := range proxies {
				r.failOn(p.Heal(r.nodes[node].source()))
			}
		}
		restored()
	})
}

// addWorkerProxy registers the proxy of a worker, to which the present cuts apply too.
func (r *run) addWorkerProxy(p *proxy.Proxy) {
	r.mu.Lock()
	r.workerProxies = append(r.workerProxies[:len(r.workerProxies):len(r.workerProxies)], p)
	present := map[int]proxy.Partition{}
	for node, cut := range r.partitions {
		present[node] = cut.kind
	}
	r.mu.Unlock()
	for node, kind := range present {
		r.failOn(p.CutOff(kind, r.nodes[node].source()))
	}
}

// failOn ends the run if an error is not nil.
func (r *run) failOn(err error) {
	if err != nil {
		r.fail(err)
	}
}

// source returns the address that the node connects to workers from.
func (p *process) source() netip.Addr { return netip.MustParseAddr(p.ip) }
