package engine

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// Config of a State. Zero speeds and times mean that the step takes no time.
type Config struct {
	Machine cluster.MachineID
	// Epoch precedes that of the first run. A Server takes the time of its start
	// when it is zero, so that a process that takes another's place has a later
	// one.
	Epoch uint64
	// MemoryBytes for replicas. Orders beyond it are carried out and counted.
	MemoryBytes  int64
	Accelerators int
	// Slots is how many requests run at once; the default is 8.
	Slots int
	// QueueLength bounds waiting requests; the default is four times Slots.
	QueueLength int
	Pool        string

	// Cached checkpoints at the start.
	Cached map[cluster.ModelID]cluster.Tier
	// HostCacheBytes bounds checkpoints cached in host memory, and DiskBytes
	// those on disk; zero means unlimited.
	HostCacheBytes, DiskBytes int64
	// MemoryBytesPerSecond, DiskBytesPerSecond and RemoteBytesPerSecond are the
	// speeds of loading from each tier. With StoreFetch, remote loads are
	// handed out as Fetch effects instead of taking RemoteBytesPerSecond.
	MemoryBytesPerSecond, DiskBytesPerSecond, RemoteBytesPerSecond float64
	StoreFetch                                                     bool
	// LoadOverhead is added to each load; UnloadTime is taken by each unload.
	LoadOverhead, UnloadTime time.Duration

	// PrefillTokensPerSecond of prompt tokens that are not cached.
	PrefillTokensPerSecond float64
	// StepTime is the time of one token of every running request, to which
	// StepTimePerRequest is added for each of them.
	StepTime, StepTimePerRequest time.Duration

	// PrefixBlocks bounds the prefix cache; zero means none.
	PrefixBlocks int
	// CacheEventDelay until a cache event is published; each CacheEventGap-th
	// event is lost, none when zero.
	CacheEventDelay time.Duration
	CacheEventGap   int

	// ReportInterval between load samples and the lag until one is shown.
	ReportInterval, ReportLag time.Duration

	// KeepAnswers is how long a finished answer can be resumed, and
	// AbandonAfter how long a running one may be without a reader before it is
	// given up; the defaults are 30 s and 10 s.
	KeepAnswers, AbandonAfter time.Duration

	// Recorder hears of each request that starts to run; nil for none.
	Recorder Recorder
}

// Recorder hears of each request that starts to run.
type Recorder interface {
	// Ran is called when an attempt gets its slot. Seed identifies the prompt.
	Ran(request cluster.RequestID, attempt cluster.Attempt, seed uint64)
}

const (
	defaultSlots          = 8
	defaultKeepAnswers    = 30 * time.Second
	defaultAbandonAfter   = 10 * time.Second
	defaultReportInterval = 250 * time.Millisecond
	// maxKeptAnswers bounds the finished answers that can be resumed.
	maxKeptAnswers = 8192
	// maxKeptOrders bounds the order IDs that are known as done.
	maxKeptOrders = 4096
	// maxCacheEvents bounds the cache events that can be read.
	maxCacheEvents = 4096
	// maxSamples bounds the load samples kept for the lag.
	maxSamples = 64
)

// withDefaults fills in the documented defaults.
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

// DefaultConfig is an engine of ordinary speed: 80 GiB of memory on one
// accelerator, loads at 16 GiB/s from memory, 4 GiB/s from disk and 1 GiB/s
// remotely, and 50 tokens a second a request.
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
