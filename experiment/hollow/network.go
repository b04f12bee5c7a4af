package hollow

import (
	"time"

	"github.com/valveslip/valveslip/wire"
)

// The cost of one exchange of request and response beyond the message, in
// bytes. The HTTP part is what BenchmarkTransport of package wire counts on
// kept connections; each of the four TCP packets adds its headers.
const (
	requestOverhead  = 100 + 2*packetOverhead
	responseOverhead = 65 + 2*packetOverhead
	packetOverhead   = 52
	// connectOverhead for opening and closing a connection, each way.
	connectOverhead = 4 * packetOverhead
	// keepConnection is how long an unused connection is kept.
	keepConnection = 90 * time.Second
)

// One-way latencies. Each message adds a random part on top.
const (
	latencyInZone        = 200 * time.Microsecond
	latencyInRegion      = 1500 * time.Microsecond
	latencyRegionBase    = 10 * time.Millisecond
	latencyRegionStep    = 15 * time.Millisecond
	latencyJitterDivisor = 5
)

// link is a pair of nodes, by index.
type link struct{ from, to int }

// Traffic counts one node's bytes and messages.
type Traffic struct {
	Sent, Received                 int64
	Messages                       int64
	ConfigurationSent              int64
	HeartbeatSent, HeartbeatBodies int64
}

// network carries messages between hollow nodes.
type network struct {
	deployment *Deployment
	loss       float64
	// blocked tells which nodes cannot reach each other now.
	blocked func(from, to *node) bool
	used    map[link]time.Time
}

// latency draws the one-way latency between two nodes.
func (n *network) latency(from, to *node) time.Duration {
	base := latencyInZone
	switch {
	case from.region != to.region:
		distance := max(from.region-to.region, to.region-from.region)
		base = latencyRegionBase + time.Duration(distance)*latencyRegionStep
	case from.identity.Zone != to.identity.Zone:
		base = latencyInRegion
	}
	jitter := n.deployment.random.ExpFloat64() * float64(base) / latencyJitterDivisor
	return base + time.Duration(jitter)
}

// send encodes message and delivers it after the latency, unless it is lost.
func (n *network) send(from *node, address string, message wire.Message) {
	to := n.deployment.byAddress[address]
	if to == nil || to == from {
		return
	}
	data, err := wire.EncodeVersion(message, min(from.version, to.version))
	if err != nil {
		panic("hollow: " + err.Error())
	}
	latency := n.latency(from, to)
	latency += n.account(from, to, message, len(data), latency)
	if n.deployment.random.Float64() < n.loss {
		return
	}
	n.deployment.clock.after(latency, func() {
		if n.blocked != nil && n.blocked(from, to) {
			return
		}
		to.deliver(data)
	})
}

// account counts the bytes of one exchange and returns the delay of opening a
// connection.
func (n *network) account(from, to *node, message wire.Message, size int, latency time.Duration) time.Duration {
	now := n.deployment.clock.now
	var connecting time.Duration
	var connect int64
	if last, ok := n.used[link{from.index, to.index}]; !ok || now.Sub(last) > keepConnection {
		connecting, connect = 2*latency, connectOverhead
	}
	n.used[link{from.index, to.index}] = now
	request := int64(size) + requestOverhead + connect
	from.traffic.Sent += request
	from.traffic.Received += responseOverhead + connect
	to.traffic.Received += request
	to.traffic.Sent += responseOverhead + connect
	from.traffic.Messages++
	if _, isHeartbeat := message.(wire.Heartbeat); isHeartbeat {
		from.traffic.HeartbeatSent++
		from.traffic.HeartbeatBodies += int64(size)
	} else {
		from.traffic.ConfigurationSent += request
	}
	return connecting
}
