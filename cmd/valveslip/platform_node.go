package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"flag"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"syscall"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/cmd/valveslip/hangup"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/feed"
	"github.com/valveslip/valveslip/fleet/lending"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
)

const (
	// watchWait is how long a call for changes without news is held: hardly, since a
	// held call may be cut without a word and its answer's age is not known.
	watchWait = 20 * time.Millisecond
	// retainedShare is the part of the machine's memory that requests and answers may take
	// of callers and workers that read slowly, kernel included: a fifth of memoryShare.
	retainedShare = 0.12
	// requestsPerMB is how many requests may be under way for each megabyte of the machine's
	// memory: each holds about 40 KB in the node and 30 KB in the kernel, its connections to
	// caller and worker among them, so that they take a fifth. Beyond that the collector takes
	// the processor: with 470 requests in 64 MB it had three quarters of what a node used, and
	// callers waited 7 s for what they had given 1.5 s.
	requestsPerMB = 3
	// memoryShare is the part of the machine's memory that the runtime may use.
	memoryShare = 0.6
	// collectAt is by how many percent the heap grows between collections.
	collectAt = 200
	// retryShare is the part of the shared retry budget that nodes divide; the
	// rest is kept for a change of their number.
	retryShare = 0.75
	// metricsPort is where every node serves its figures.
	metricsPort = 9464
	// The router's tuning for this platform.
	platformRegionPenalty   = 12 * time.Millisecond
	platformFailurePenalty  = 800 * time.Millisecond
	platformMaxBackOff      = 1500 * time.Millisecond
	platformPrefixBlockTime = 8 * time.Millisecond
	// platformHeedShare is up to what part of the time that they have left callers heed the
	// time that they are told to come back.
	platformHeedShare = 1.0 / 3
	// platformDrainRetry is when callers of a stopping node should come back:
	// another node takes them at once.
	platformDrainRetry = 50 * time.Millisecond
	// keyProofShare is the part of the time for which a key may be used after it was taken
	// away that the proof of keys may be old at a send. The rest is for what lies between the
	// last look and the worker, and for clocks that run apart.
	keyProofShare = 0.9
	// platformSubset is how many machines of a distance a node prefers.
	platformSubset = 4
	// platformTargetLoad is the share of an engine's slots that one replica should
	// fill, and platformTargetRunning how many requests at most: few, because prompts
	// are read one after the other. From platformSaturatedLoad, or
	// platformSaturatedRunning, on requests hold each other up.
	platformTargetLoad       = 0.4
	platformTargetRunning    = 9
	platformSaturatedLoad    = 0.6
	platformSaturatedRunning = 16
	platformGrowthFactor     = 2
)

// runPlatformNode runs a node on the users' platform until SIGTERM or SIGINT.
func runPlatformNode(ctx context.Context, refuses poison.Config) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	path := settingsPath()
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return &exitError{code: exitInvalid, err: err}
	}
	limitResources(&settings.Resources)
	log := eventlog.New(os.Stdout, eventlog.Options{Node: settings.NodeName})
	log.Write(eventlog.SettingsRead{Path: path})
	options := platformOptions(&settings, log)
	options.Core.Routing.Poison = refuses
	node, err := shell.Start(options)
	if err != nil {
		return err
	}
	for {
		select {
		case <-hangup.Signals:
			reload(path, log)
		case <-ctx.Done():
			node.Stop()
			return nil
		case err := <-node.Failed():
			node.Kill()
			return err
		}
	}
}

// settingsPath is where the platform put the settings file, empty without one.
func settingsPath() string { return os.Getenv(platform.SettingsVariable) }

// poisonFlags adds the flags that say when a request is refused because machines end under
// it, and returns what they say.
func poisonFlags(flags *flag.FlagSet) func() poison.Config {
	ends := flags.Int("poison-ends", poison.DefaultEnds, "machines that end under a request until all nodes refuse it; 0 refuses none")
	lasts := flags.Duration("poison-for", poison.DefaultConviction, "how long such a request is refused")
	return func() poison.Config {
		cfg := poison.Config{Ends: *ends, Conviction: *lasts}
		if cfg.Ends <= 0 {
			cfg.Ends = -1
		}
		return cfg
	}
}

// reload reads the settings again. Addresses and limits hold for the life of a
// process; a file that can't be read is reported and changes nothing.
func reload(path string, log *eventlog.Log) {
	line := eventlog.SettingsRead{Path: path}
	if _, err := platform.ReadSettings(path); err != nil {
		line.Error = err.Error()
	}
	log.Write(line)
}

// limitResources has the runtime keep within what the process is given.
func limitResources(limits *platform.Limits) {
	debug.SetMemoryLimit(int64(limits.MemoryMB * memoryShare * (1 << 20)))
	debug.SetGCPercent(collectAt)
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(limits.Cores)
	}
}

// platformOptions converts the settings.
func platformOptions(settings *platform.Settings, log *eventlog.Log) shell.Options {
	regions := make(map[cluster.ZoneID]cluster.RegionID, len(settings.Zones))
	for zone, region := range settings.Zones {
		regions[cluster.ZoneID(zone)] = cluster.RegionID(region)
	}
	core := fleet.Config{
		Self: fleet.NodeEntry{
			ID: cluster.NodeID(settings.NodeName + "-" + uniqueSuffix()), Machine: settings.NodeName + "/" + settings.IP,
			Zone: cluster.ZoneID(settings.Zone), Capacity: settings.Resources.CPUShare,
		},
		Zone: cluster.ZoneID(settings.Zone), Regions: regions,
		FirstStart: settings.FirstStart, FencingEnforced: settings.Bounds.FencingEnforced,
		OrderPause:  platform.Milliseconds(settings.Bounds.LeaseMillis),
		LoadWindow:  platform.Seconds(settings.Bounds.LoadWindowSeconds),
		LoadOverrun: settings.Bounds.LoadOverrun,
		Routing: routing.Config{
			ExpectedRouters: 4, RetryRatio: settings.Bounds.RetryRatio * retryShare,
			RetryWindow: platform.Seconds(settings.Bounds.RetryWindowSeconds),
			RetryExtra:  settings.Bounds.RetryExtra * retryShare, FailurePenalty: platformFailurePenalty,
			MaxBackOff: platformMaxBackOff, RegionPenalty: platformRegionPenalty, PrefixBlockTime: platformPrefixBlockTime,
			Subset: platformSubset, DrainRetryAfter: platformDrainRetry,
		},
	}
	core.Dispatching, core.Fetches = true, true
	core.HeedShare = platformHeedShare
	core.Lending = lending.Config{
		Window: platform.Seconds(settings.Bounds.QuotaWindowSeconds), Overrun: settings.Bounds.QuotaOverrun, Slack: settings.Bounds.QuotaSlack,
	}
	if settings.Bounds.RevokeStrict {
		core.KeyProof = time.Duration(float64(platform.Milliseconds(settings.Bounds.RevokeMillis)) * keyProofShare)
	}
	core.Placement.TargetLoad, core.Placement.SaturatedLoad = platformTargetLoad, platformSaturatedLoad
	core.Placement.TargetRunning, core.Placement.SaturatedRunning = platformTargetRunning, platformSaturatedRunning
	core.Placement.GrowthFactor = platformGrowthFactor
	return shell.Options{
		Core: core, Seed: seed(), CallersAddress: settings.Listen.Callers, ReadyAddress: settings.Listen.Readiness,
		PeerAddress:    net.JoinHostPort(settings.IP, strconv.Itoa(settings.InternalPorts[0])),
		MetricsAddress: net.JoinHostPort(settings.IP, strconv.Itoa(metricsPort)), ReadyPath: platform.ReadyPath,
		Grace: platform.Seconds(settings.Bounds.GraceSeconds),
		Store: platform.NewStoreClient(settings.Store.Address, watchWait), Engines: platform.NewEngineClient(),
		Feed: feed.Config{Within: platform.Milliseconds(min(settings.Bounds.DrainMillis, settings.Bounds.ConfigMillis))},
		Callers: shell.CallerBounds{
			RetainedBytes: int64(settings.Resources.MemoryMB * retainedShare * (1 << 20)), Requests: int(settings.Resources.MemoryMB * requestsPerMB),
		},
		Codec: platform.Codec{}, Dialect: platform.Dialect{}, Log: log,
		Logger:  slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})),
		Version: versionText(),
	}
}

const suffixBytes = 4

// uniqueSuffix tells the starts of one node apart.
func uniqueSuffix() string {
	data := make([]byte, suffixBytes)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

// seed draws the seed of the core's choices.
func seed() uint64 {
	data := make([]byte, 8)
	_, _ = rand.Read(data)
	var value uint64
	for _, part := range data {
		value = value<<8 | uint64(part)
	}
	return value
}
