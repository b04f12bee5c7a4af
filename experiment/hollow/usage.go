package hollow

import (
	"slices"
	"syscall"
	"time"
)

// Durations is a set of measured times.
type Durations []time.Duration

// Quantile returns the time that the share q of the set does not exceed, zero
// for an empty set.
func (d Durations) Quantile(q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// Max returns the largest time, zero for an empty set.
func (d Durations) Max() time.Duration { return d.Quantile(1) }

// Usage is what a node spends, per second of virtual time.
type Usage struct {
	// SentMean, SentMax and ReceivedMean are bytes a second, with HTTP and TCP
	// headers; Max is over the nodes.
	SentMean, SentMax, ReceivedMean, ReceivedMax float64
	// Messages sent a second.
	Messages float64
	// HeartbeatBytes is the mean size of an encoded heartbeat.
	HeartbeatBytes float64
	// ConfigurationSent is the part of SentMean that is not heartbeats.
	ConfigurationSent float64
	// Processor is the share of one core, with encoding and decoding but
	// without sockets, and with the harness itself.
	Processor float64
}

// usage divides the traffic since resetTraffic.
func (d *Deployment) usage(duration, processor time.Duration) Usage {
	var usage Usage
	var heartbeats, bodies int64
	seconds := duration.Seconds()
	nodeSeconds := seconds * float64(len(d.nodes))
	for _, n := range d.nodes {
		usage.SentMean += float64(n.traffic.Sent) / nodeSeconds
		usage.ReceivedMean += float64(n.traffic.Received) / nodeSeconds
		usage.SentMax = max(usage.SentMax, float64(n.traffic.Sent)/seconds)
		usage.ReceivedMax = max(usage.ReceivedMax, float64(n.traffic.Received)/seconds)
		usage.Messages += float64(n.traffic.Messages) / nodeSeconds
		usage.ConfigurationSent += float64(n.traffic.ConfigurationSent) / nodeSeconds
		heartbeats += n.traffic.HeartbeatSent
		bodies += n.traffic.HeartbeatBodies
	}
	if heartbeats > 0 {
		usage.HeartbeatBytes = float64(bodies) / float64(heartbeats)
	}
	usage.Processor = processor.Seconds() / nodeSeconds
	return usage
}

// processorTime is what this process has used so far, on all its threads.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
