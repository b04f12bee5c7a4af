package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/standin"
	standinengine "github.com/valveslip/valveslip/standin/engine"
	"github.com/valveslip/valveslip/standin/keyvalue"
	"github.com/valveslip/valveslip/standin/machines"
	"github.com/valveslip/valveslip/standin/weights"
)

const (
	// gibibyte is the number of bytes of a GiB.
	gibibyte = 1 << 30
	// standinCloseTimeout is the maximum time that a stopping stand-in waits for requests
	// in flight.
	standinCloseTimeout = 5 * time.Second
)

// standinCommand returns the command that runs a stand-in for a service of the platform or
// for a model engine.
func standinCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "valveslip standin <keyvalue|weights|machines|engine> [flags]",
		ShortHelp:  "run a stand-in of the platform or of a model engine",
		LongHelp:   "Each stand-in takes faults as JSON by POST /faults, for example\n  {\"kind\":\"slow\",\"delay\":\"200ms\",\"for\":\"10s\"}.",
		Subcommands: []*ffcli.Command{
			standinKeyValueCommand(), standinWeightsCommand(), standinMachinesCommand(), standinEngineCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// standinSubcommand returns a subcommand that runs a stand-in and takes no arguments.
func standinSubcommand(name, help string, flags *flag.FlagSet, run func(ctx context.Context) error) *ffcli.Command {
	return &ffcli.Command{
		Name: name, ShortUsage: "valveslip standin " + name + " [flags]", ShortHelp: help,
		FlagSet: flags, Options: []ff.Option{ff.WithEnvVarPrefix("VALVESLIP_STANDIN")},
		Exec: func(ctx context.Context, arguments []string) error {
			if len(arguments) > 0 {
				return &exitError{code: exitUsage, err: fmt.Errorf("unexpected argument %q", arguments[0])}
			}
			return run(ctx)
		},
	}
}

// serveStandin prints the URL of the stand-in and serves handler until SIGINT or SIGTERM.
func serveStandin(ctx context.Context, listen string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	server, err := standin.Listen(listen, handler)
	if err != nil {
		return err
	}
	fmt.Println(server.URL())
	<-ctx.Done()
	closeCtx, cancel := context.WithTimeout(context.Background(), standinCloseTimeout)
	defer cancel()
	return server.Close(closeCtx)
}

// standinKeyValueCommand returns the command that runs the key-value service.
func standinKeyValueCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin keyvalue", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "listen address, IP:port")
	rate := flags.Float64("rate", 0, "requests a second, 0 for unlimited")
	burst := flags.Int("burst", 100, "requests that may come at once")
	history := flags.Int("history", 0, "changes kept for watches, 0 for the default")
	seed := flags.Uint64("seed", 1, "seed of the chances of injected faults")
	return standinSubcommand("keyvalue", "key-value service with the etcd v3 HTTP/JSON gateway", flags, func(ctx context.Context) error {
		server := keyvalue.NewServer(keyvalue.Config{RequestsPerSecond: *rate, Burst: *burst, HistoryLength: *history}, *seed)
		defer server.Close()
		return serveStandin(ctx, *listen, server)
	})
}

// standinWeightsCommand returns the command that runs the weight store.
func standinWeightsCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin weights", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "listen address, IP:port")
	starts := flags.Float64("starts", 2, "loads that may start a second, 0 for unlimited")
	concurrency := flags.Int("concurrency", 8, "loads at once at full speed, 0 for unlimited")
	speed := flags.Float64("speed", 2, "GiB a second of one load at full speed")
	seed := flags.Uint64("seed", 1, "seed of the chances of injected faults")
	return standinSubcommand("weights", "weight store", flags, func(ctx context.Context) error {
		config := weights.Config{StartsPerSecond: *starts, Concurrency: *concurrency, BytesPerSecond: *speed * gibibyte}
		return serveStandin(ctx, *listen, weights.NewServer(config, *seed))
	})
}

// standinMachinesCommand returns the command that runs the machine list.
func standinMachinesCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin machines", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "listen address, IP:port")
	lag := flags.Duration("lag", 2*time.Second, "time until a change shows")
	seed := flags.Uint64("seed", 1, "seed of the chances of injected faults")
	var list []cluster.Machine
	flags.Func("machine", "a machine as ID,zone,region,rack,IP:port; may be repeated", func(value string) error {
		fields := strings.Split(value, ",")
		if len(fields) != 5 || fields[0] == "" || fields[1] == "" || fields[4] == "" {
			return errors.New("a machine has the form ID,zone,region,rack,IP:port")
		}
		list = append(list, cluster.Machine{
			ID: cluster.MachineID(fields[0]), Zone: cluster.ZoneID(fields[1]),
			Region: cluster.RegionID(fields[2]), Rack: fields[3], Address: fields[4],
		})
		return nil
	})
	return standinSubcommand("machines", "machine list", flags, func(ctx context.Context) error {
		server := machines.NewServer(*lag, *seed)
		for _, machine := range list {
			server.Put(machine)
		}
		return serveStandin(ctx, *listen, server)
	})
}

// standinEngineCommand returns the command that runs a model engine.
func standinEngineCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin engine", flag.ContinueOnError)
	listen := flags.String("listen", "127.0.0.1:0", "listen address, IP:port")
	machine := flags.String("machine", "", "ID of the machine")
	pool := flags.String("pool", "", "engine pool the machine serves")
	memory := flags.Float64("memory", 80, "GiB of memory for replicas")
	accelerators := flags.Int("accelerators", 1, "accelerators of the machine")
	slots := flags.Int("slots", 16, "requests that run at once")
	step := flags.Duration("step", 20*time.Millisecond, "time of one token")
	stepEach := flags.Duration("step-per-request", 200*time.Microsecond, "time added to each token by every request that runs")
	prefill := flags.Float64("prefill", 4000, "prompt tokens a second")
	store := flags.String("weights", "", "URL of the weight store; empty loads at 1 GiB/s without one")
	seed := flags.Uint64("seed", 1, "seed of the chances of injected faults")
	return standinSubcommand("engine", "model engine with the OpenAI API", flags, func(ctx context.Context) error {
		if *machine == "" {
			return &exitError{code: exitUsage, err: errors.New("--machine is needed")}
		}
		config := standinengine.DefaultConfig(cluster.MachineID(*machine))
		config.Pool, config.MemoryBytes, config.Accelerators = *pool, int64(*memory*gibibyte), *accelerators
		config.Slots, config.PrefillTokensPerSecond = *slots, *prefill
		config.StepTime, config.StepTimePerRequest = *step, *stepEach
		config.Recorder = standinengine.NewLedger()
		server := standinengine.NewServer(standinengine.ServerConfig{Engine: config, Fetch: storeFetcher(*store), FaultSeed: *seed})
		return serveEngine(ctx, *listen, server)
	})
}

// storeFetcher returns a function that fetches weights from the store at url, or nil if
// url is empty.
func storeFetcher(url string) standinengine.Fetcher {
	if url == "" {
		return nil
	}
	client := weights.NewClient(url)
	return func(ctx context.Context, fetch standinengine.Fetch) error {
		return client.Fetch(ctx, weights.LoadRequest{ID: fetch.Order, Model: string(fetch.Model), Bytes: fetch.Bytes})
	}
}

// serveEngine prints the URL of an engine and serves it until SIGINT or SIGTERM. The engine
// owns its listener, because injected faults close and reopen it.
func serveEngine(ctx context.Context, listen string, server *standinengine.Server) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	address, err := server.Listen(listen)
	if err != nil {
		return eris.Wrap(err, "start the engine")
	}
	fmt.Println("http://" + address)
	<-ctx.Done()
	closeCtx, cancel := context.WithTimeout(context.Background(), standinCloseTimeout)
	defer cancel()
	return server.Close(closeCtx)
}
