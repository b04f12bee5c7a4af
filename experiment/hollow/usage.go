package hollow

import (
	"slices"
	"syscall"
	"time"
)

// Durations is a set of measured times, in any order.
type Durations []time.Duration

// Quantile returns the q-quantile of the set by nearest rank, zero for an empty set.
func (d Durations) Quantile(q float64) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(d))
	return sorted[int(q*float64(len(sorted)-1)+0.5)]
}

// Max returns the largest time, zero for an empty set.
func (d Durations) Max() time.Duration { return d.Quantile(1) }

// Usage is the resource consumption of a node per second of virtual time.
type Usage struct {
	// SentMean, SentMax, ReceivedMean and ReceivedMax are in bytes per second with HTTP and TCP
	// headers, as mean and maximum over the nodes.
	SentMean, SentMax, ReceivedMean, ReceivedMax float64
	// Messages is the number of messages sent per second.
	Messages float64
	// HeartbeatBytes is the mean size of an encoded heartbeat.
	HeartbeatBytes float64
	// ConfigurationSent is the part of SentMean that is not heartbeats.
	ConfigurationSent float64
	// Processor is the share of one core. It includes encoding, decoding and the simulation itself,
	// but no sockets.
	Processor float64
}

// computeUsage returns the mean consumption since resetTraffic.
func (d *Deployment) computeUsage(duration, processor time.Duration) Usage {
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

// cpuTime returns the processor time that all threads of this process have used.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
