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
	"github.com/valveslip/valveslip/upstream"
)

const (
	// watchPollTime is how long the store may hold a request for changes if there are none.
	// It is short because a connection may be cut silently while a request is held, and
	// because the age of a held response is not known.
	watchPollTime = 20 * time.Millisecond
	// retainedMemoryShare is the share of the machine's memory, kernel buffers included, that
	// requests and responses of slow callers and workers may occupy: a fifth of
	// runtimeMemoryShare.
	retainedMemoryShare = 0.12
	// requestsPerMB is the maximum number of concurrent requests for each megabyte of the
	// machine's memory. A request takes about 40 KB in the node and 30 KB in the kernel,
	// including its connections to the caller and the worker, so all of them take a fifth of
	// the memory. With more requests, garbage collection takes most of the CPU time: with 470
	// requests in 64 MB it used three quarters of the node's CPU time, and callers waited 7 s
	// for requests with a deadline of 1.5 s.
	requestsPerMB = 3
	// runtimeMemoryShare is the share of the machine's memory that the Go runtime may use.
	runtimeMemoryShare = 0.6
	// gcPercent is the growth of the heap between garbage collections, in percent.
	gcPercent = 200
	// retryBudgetShare is the share of the common retry budget that the nodes divide. The
	// rest is a reserve for changes in the number of nodes.
	retryBudgetShare = 0.75
	// metricsPort is the port on which every node serves its metrics.
	metricsPort = 9464
	// The router's settings for this platform.
	platformRegionPenalty   = 12 * time.Millisecond
	platformFailurePenalty  = 800 * time.Millisecond
	platformMaxBackOff      = 1500 * time.Millisecond
	platformPrefixBlockTime = 8 * time.Millisecond
	// platformHeedShare is the maximum share of its remaining deadline for which a caller is
	// assumed to honor a Retry-After delay.
	platformHeedShare = 1.0 / 3
	// platformDrainRetryAfter is the Retry-After delay that a stopping node sends. It is short
	// because another node accepts the requests at once.
	platformDrainRetryAfter = 50 * time.Millisecond
	// keyProofShare is the maximum age of the proof that a key is valid when a request is
	// sent, as a share of the time for which a revoked key may still be used. The rest
	// allows for the delay between the last check and the worker, and for clock drift.
	keyProofShare = 0.9
	// platformSubset is the number of machines at the same distance that a node prefers.
	platformSubset = 4
	// platformTargetLoad is the share of an engine's slots that the requests of one replica
	// should occupy, and platformTargetRunning is the maximum number of these requests. It
	// is small because an engine processes prompts one after the other. From
	// platformSaturatedLoad or platformSaturatedRunning on, requests delay each other.
	platformTargetLoad       = 0.4
	platformTargetRunning    = 9
	platformSaturatedLoad    = 0.6
	platformSaturatedRunning = 16
	platformGrowthFactor     = 2
)

// runPlatformNode runs a node on the users' platform until SIGTERM or SIGINT.
func runPlatformNode(ctx context.Context, poisonConfig poison.Config) error {
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
	options.Core.Routing.Poison = poisonConfig
	node, err := shell.Start(options)
	if err != nil {
		return err
	}
	for {
		select {
		case <-hangup.Signals:
			reloadSettings(path, log)
		case <-ctx.Done():
			node.Stop()
			return nil
		case err := <-node.ListenerErrors():
			node.Kill()
			return err
		}
	}
}

// settingsPath returns the path of the platform's settings file from the environment,
// empty if there is none.
func settingsPath() string { return os.Getenv(platform.SettingsVariable) }

// poisonFlags adds the flags that configure the refusal of requests under which machines
// end. It returns a function that returns the configuration after the flags are parsed.
func poisonFlags(flags *flag.FlagSet) func() poison.Config {
	ends := flags.Int("poison-ends", poison.DefaultEnds, "machines that end under a request until all nodes refuse it; 0 refuses none")
	duration := flags.Duration("poison-for", poison.DefaultBlockDuration, "how long such a request is refused")
	return func() poison.Config {
		cfg := poison.Config{Ends: *ends, BlockDuration: *duration}
		if cfg.Ends <= 0 {
			cfg.Ends = -1
		}
		return cfg
	}
}

// reloadSettings reads the settings file again and logs the result. It changes nothing,
// because addresses and limits stay the same for the life of the process.
func reloadSettings(path string, log *eventlog.Log) {
	event := eventlog.SettingsRead{Path: path}
	if _, err := platform.ReadSettings(path); err != nil {
		event.Error = err.Error()
	}
	log.Write(event)
}

// limitResources configures the memory limit, the garbage collector and the number of
// processors that the Go runtime uses from the limits of the process.
func limitResources(limits *platform.Limits) {
	debug.SetMemoryLimit(int64(limits.MemoryMB * runtimeMemoryShare * (1 << 20)))
	debug.SetGCPercent(gcPercent)
	if limits.Cores > 0 {
		runtime.GOMAXPROCS(limits.Cores)
	}
}

// platformOptions converts the platform's settings to the options of a node.
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
			ExpectedRouters: 4, RetryRatio: settings.Bounds.RetryRatio * retryBudgetShare,
			RetryWindow: platform.Seconds(settings.Bounds.RetryWindowSeconds),
			RetryExtra:  settings.Bounds.RetryExtra * retryBudgetShare, FailurePenalty: platformFailurePenalty,
			MaxBackOff: platformMaxBackOff, RegionPenalty: platformRegionPenalty, PrefixBlockTime: platformPrefixBlockTime,
			Subset: platformSubset, DrainRetryAfter: platformDrainRetryAfter,
		},
	}
	core.Dispatching, core.FetchesCachedPrefixes = true, true
	core.MaxRetryAfterShare = platformHeedShare
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
		Core: core, Seed: randomSeed(), CallersAddress: settings.Listen.Callers, ReadyAddress: settings.Listen.Readiness,
		PeerAddress:    net.JoinHostPort(settings.IP, strconv.Itoa(settings.InternalPorts[0])),
		MetricsAddress: net.JoinHostPort(settings.IP, strconv.Itoa(metricsPort)), ReadyPath: platform.ReadyPath,
		StopTimeout: platform.Seconds(settings.Bounds.GraceSeconds),
		Store:       platform.NewStoreClient(settings.Store.Address, watchPollTime), Engines: platform.NewEngineClient(net.ParseIP(settings.IP)),
		Upstream: upstream.Options{LocalAddress: net.ParseIP(settings.IP)},
		Feed:     feed.Config{MaxChangeDelay: platform.Milliseconds(min(settings.Bounds.DrainMillis, settings.Bounds.ConfigMillis))},
		CallerLimits: shell.CallerLimits{
			RetainedBytes: int64(settings.Resources.MemoryMB * retainedMemoryShare * (1 << 20)), MaxRequestsInFlight: int(settings.Resources.MemoryMB * requestsPerMB),
		},
		Codec: platform.Codec{}, Dialect: platform.Dialect{}, Log: log,
		Logger:  slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})),
		Version: versionText(),
	}
}

// suffixBytes is the number of random bytes in a node ID's suffix.
const suffixBytes = 4

// uniqueSuffix returns a random suffix that distinguishes the processes of one node.
func uniqueSuffix() string {
	data := make([]byte, suffixBytes)
	_, _ = rand.Read(data)
	return hex.EncodeToString(data)
}

// randomSeed returns a random seed for the choices of the node's core.
func randomSeed() uint64 {
	data := make([]byte, 8)
	_, _ = rand.Read(data)
	var value uint64
	for _, b := range data {
		value = value<<8 | uint64(b)
	}
	return value
}
