package engine

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Config configures a State. A speed or time of zero means that the operation
// takes no time.
type Config struct {
	Machine cluster.MachineID
	// Epoch is the number before the epoch of the first run. If it is zero, a
	// Server uses its start time, so that a process that replaces another one has
	// a later epoch.
	Epoch uint64
	// MemoryBytes is the memory for replicas. Loads beyond it are executed and
	// counted in Counters.Overcommitted.
	MemoryBytes  int64
	Accelerators int
	// Slots is the number of attempts that run at the same time; the default is 8.
	Slots int
	// QueueLength limits the queued attempts; the default is four times Slots.
	QueueLength int
	Pool        string

	// Cached has the cache tier of each model whose checkpoint is cached at the
	// start.
	Cached map[cluster.ModelID]cluster.Tier
	// HostCacheBytes limits the checkpoints in host memory, and DiskBytes those on
	// disk; zero means unlimited.
	HostCacheBytes, DiskBytes int64
	// MemoryBytesPerSecond, DiskBytesPerSecond and RemoteBytesPerSecond are the
	// load speeds from each tier. With StoreFetch, remote loads become Fetch
	// effects and RemoteBytesPerSecond isn't used.
	MemoryBytesPerSecond, DiskBytesPerSecond, RemoteBytesPerSecond float64
	StoreFetch                                                     bool
	// LoadOverhead is added to the time of each load. UnloadTime is the time of
	// each unload after its drain.
	LoadOverhead, UnloadTime time.Duration

	// PrefillTokensPerSecond is the prefill speed for prompt tokens that aren't
	// cached.
	PrefillTokensPerSecond float64
	// A decoding step generates one token for each decoding attempt. It takes
	// StepTime plus StepTimePerRequest for each of these attempts.
	StepTime, StepTimePerRequest time.Duration

	// PrefixBlocks is the size of the prefix cache in blocks; zero disables it.
	PrefixBlocks int
	// CacheEventDelay is the time until a cache event is published. Each event
	// whose sequence number is a multiple of CacheEventGap is lost; with zero,
	// none is.
	CacheEventDelay time.Duration
	CacheEventGap   int

	// ReportInterval is the shortest time between load samples; the default is
	// 250 ms. ReportLag is the time until a sample is reported.
	ReportInterval, ReportLag time.Duration

	// KeepAnswers is the time for which the answer of an ended attempt can be
	// resumed; the default is 30 s. AbandonAfter is the time after which an attempt
	// whose answer no connection reads is aborted; the default is 10 s.
	KeepAnswers, AbandonAfter time.Duration

	// Recorder is notified of each attempt that starts to run; it may be nil.
	Recorder Recorder
}

// Recorder is notified of each attempt that starts to run.
type Recorder interface {
	// Ran is called when an attempt gets a slot. seed identifies the prompt.
	Ran(request cluster.RequestID, attempt cluster.Attempt, seed uint64)
}

const (
	defaultSlots          = 8
	defaultKeepAnswers    = 30 * time.Second
	defaultAbandonAfter   = 10 * time.Second
	defaultReportInterval = 250 * time.Millisecond
	// maxKeptAnswers limits the ended attempts whose answers can be resumed.
	maxKeptAnswers = 8192
	// maxKeptOrders limits the IDs of applied orders by which repeated orders are
	// recognized.
	maxKeptOrders = 4096
	// maxCacheEvents is the number of cache events that stay readable.
	maxCacheEvents = 4096
	// maxSamples limits the load samples that are kept for the report lag.
	maxSamples = 64
)

// withDefaults returns the configuration with the documented defaults.
func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.QueueLength <= 0 {
		c.QueueLength = 4 * c.Slots
	}
	if c.KeepAnswers <= 0 {
		c.KeepAnswers = defaultKeepAnswers
	}
	if c.AbandonAfter <= 0 {
		c.AbandonAfter = defaultAbandonAfter
	}
	if c.ReportInterval <= 0 {
		c.ReportInterval = defaultReportInterval
	}
	return c
}

// DefaultConfig returns the configuration of a typical engine: 80 GiB of memory
// on one accelerator, loads at 16 GiB/s from host memory, 4 GiB/s from disk and
// 1 GiB/s from the weight store, and about 50 tokens per second per request.
func DefaultConfig(machine cluster.MachineID) Config {
	const gibibyte = 1 << 30
	return Config{
		Machine: machine, MemoryBytes: 80 * gibibyte, Accelerators: 1, Slots: 16,
		HostCacheBytes: 160 * gibibyte, DiskBytes: 1024 * gibibyte,
		MemoryBytesPerSecond: 16 * gibibyte, DiskBytesPerSecond: 4 * gibibyte, RemoteBytesPerSecond: gibibyte,
		LoadOverhead: 200 * time.Millisecond, UnloadTime: 100 * time.Millisecond,
		PrefillTokensPerSecond: 4000, StepTime: 20 * time.Millisecond, StepTimePerRequest: 200 * time.Microsecond,
		PrefixBlocks: 4096, CacheEventDelay: 500 * time.Millisecond, CacheEventGap: 50,
		ReportInterval: 250 * time.Millisecond, ReportLag: 500 * time.Millisecond,
	}
}
