package hollow

import (
	"time"

	"github.com/valveslip/valveslip/wire"
)

// The overhead of one exchange of request and response beyond the message, in bytes.
// BenchmarkTransport of package wire measures the HTTP part on kept-alive connections; each of the
// four TCP packets adds its headers.
const (
	requestOverhead  = 100 + 2*packetOverhead
	responseOverhead = 65 + 2*packetOverhead
	packetOverhead   = 52
	// connectOverhead is for opening and closing a connection, in each direction.
	connectOverhead = 4 * packetOverhead
	// connectionIdleTimeout is how long an unused connection stays open.
	connectionIdleTimeout = 90 * time.Second
)

// One-way latencies. Each message adds a random jitter.
const (
	latencyInZone            = 200 * time.Microsecond
	latencyInRegion          = 1500 * time.Microsecond
	latencyBetweenRegions    = 10 * time.Millisecond
	latencyPerRegionDistance = 15 * time.Millisecond
	latencyJitterDivisor     = 5
)

// link is a directed pair of nodes, by index.
type link struct{ from, to int }

// Traffic counts the bytes and messages of one node.
type Traffic struct {
	Sent, Received                 int64
	Messages                       int64
	ConfigurationSent              int64
	HeartbeatSent, HeartbeatBodies int64
}

// network delivers messages between hollow nodes.
type network struct {
	deployment *Deployment
	loss       float64
	// isBlocked reports whether messages between two nodes are dropped; nil drops none.
	isBlocked func(from, to *node) bool
	lastUsed  map[link]time.Time
}

// latency returns a random one-way latency between two nodes.
func (n *network) latency(from, to *node) time.Duration {
	base := latencyInZone
	switch {
	case from.region != to.region:
		distance := max(from.region-to.region, to.region-from.region)
		base = latencyBetweenRegions + time.Duration(distance)*latencyPerRegionDistance
	case from.identity.Zone != to.identity.Zone:
		base = latencyInRegion
	}
	jitter := n.deployment.random.ExpFloat64() * float64(base) / latencyJitterDivisor
	return base + time.Duration(jitter)
}

// send encodes the message and delivers it after the latency, unless it is lost.
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
	latency += n.countExchange(from, to, message, len(data), latency)
	if n.deployment.random.Float64() < n.loss {
		return
	}
	n.deployment.clock.schedule(latency, func() {
		if n.isBlocked != nil && n.isBlocked(from, to) {
			return
		}
		to.deliver(data)
	})
}

// countExchange counts the bytes of one exchange and returns the delay for opening a connection,
// zero if one is open.
func (n *network) countExchange(from, to *node, message wire.Message, size int, latency time.Duration) time.Duration {
	now := n.deployment.clock.now
	var connectDelay time.Duration
	var connectBytes int64
	if last, ok := n.lastUsed[link{from.index, to.index}]; !ok || now.Sub(last) > connectionIdleTimeout {
		connectDelay, connectBytes = 2*latency, connectOverhead
	}
	n.lastUsed[link{from.index, to.index}] = now
	request := int64(size) + requestOverhead + connectBytes
	from.traffic.Sent += request
	from.traffic.Received += responseOverhead + connectBytes
	to.traffic.Received += request
	to.traffic.Sent += responseOverhead + connectBytes
	from.traffic.Messages++
	if _, isHeartbeat := message.(wire.Heartbeat); isHeartbeat {
		from.traffic.HeartbeatSent++
		from.traffic.HeartbeatBodies += int64(size)
	} else {
		from.traffic.ConfigurationSent += request
	}
	return connectDelay
}
