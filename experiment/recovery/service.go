package recovery

import (
	"context"
	"math"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/valveslip/valveslip/experiment"
	"github.com/valveslip/valveslip/simulation"
)

// Fault names a fault whose recovery is measured.
type Fault string

// The faults. Each is injected just after the controller of the zone has ordered a load for a
// waiting request.
const (
	FaultNone             Fault = "none"
	FaultControllerCrash  Fault = "controller-crash"
	FaultControllerPause  Fault = "controller-pause"
	FaultControllerStop   Fault = "controller-stop"
	FaultCrashLostAnswers Fault = "controller-crash-lost-answers"
	FaultApportionerCrash Fault = "apportioner-crash"
	FaultEngineCrash      Fault = "engine-crash"
	FaultReclaimNotice    Fault = "reclaim-with-notice"
	FaultReclaimSudden    Fault = "reclaim-without-notice"
	FaultZoneCut          Fault = "zone-cut"
	FaultKeyValueDown     Fault = "key-value-down"
	FaultKeyValueRestarts Fault = "key-value-down-restarts"
	// FaultKeyValueControllers restarts the controllers of the zones, up to a third of the nodes.
	FaultKeyValueControllers Fault = "key-value-down-controllers"
)

// Faults returns all faults in the order of the reports.
func Faults() []Fault {
	return []Fault{
		FaultNone, FaultControllerCrash, FaultControllerPause, FaultControllerStop,
		FaultCrashLostAnswers, FaultApportionerCrash, FaultEngineCrash,
		FaultReclaimNotice, FaultReclaimSudden, FaultZoneCut,
		FaultKeyValueDown, FaultKeyValueRestarts, FaultKeyValueControllers,
	}
}

// ServiceTimes holds the times measured with one seed, counted from the fault. A negative time
// means that the event did not occur.
type ServiceTimes struct {
	Seed uint64 `json:"seed"`
	// Planning is the longest time after the fault without a plan by the zone's current controller.
	Planning time.Duration `json:"planning"`
	// Apportioner is the time until a live node is the apportioner.
	Apportioner time.Duration `json:"apportioner"`
	// UnderWay is the time until the first token of the request whose model was loading when the
	// fault occurred.
	UnderWay time.Duration `json:"under_way"`
	// Here and Anywhere are the times until the first tokens of two requests that arrive just after
	// the fault for models that are not loaded. The model of Here may only be placed in the faulted
	// zone, that of Anywhere in any zone.
	Here     time.Duration `json:"here"`
	Anywhere time.Duration `json:"anywhere"`
	// Arrived and Served count the requests that arrived after the fault.
	Arrived        int                    `json:"arrived"`
	Served         int                    `json:"served"`
	Violations     []simulation.Violation `json:"violations,omitempty"`
	violationCount int
}

// Quantiles summarizes a measured time over the seeds. Missing counts the seeds in which the event
// did not occur; the quantiles exclude them.
type Quantiles struct {
	P50     time.Duration `json:"p50"`
	P99     time.Duration `json:"p99"`
	Max     time.Duration `json:"max"`
	Missing int           `json:"missing"`
}

// ServiceReport aggregates the seeds of one fault.
type ServiceReport struct {
	Fault       Fault     `json:"fault"`
	Planning    Quantiles `json:"planning"`
	Apportioner Quantiles `json:"apportioner"`
	UnderWay    Quantiles `json:"under_way"`
	Here        Quantiles `json:"here"`
	Anywhere    Quantiles `json:"anywhere"`
	// Arrived and Served count the requests that arrived after the fault.
	Arrived    int            `json:"arrived"`
	Served     int            `json:"served"`
	Violations int            `json:"violations"`
	Seeds      []ServiceTimes `json:"seeds"`
}

// ServiceOptions configures MeasureService.
type ServiceOptions struct {
	// Scenario must have the zone and the models of the built-in scenario named recovery.
	Scenario *experiment.Scenario
	Faults   []Fault
	// Seeds is the number of seeds of each fault, Workers the number of runs that execute
	// concurrently.
	Seeds, Workers int
	// Progress is called after each run unless nil.
	Progress func()
}

// MeasureService runs every fault with every seed. The result does not depend on the number of
// workers.
func MeasureService(ctx context.Context, options ServiceOptions) ([]ServiceReport, error) {
	times := make([][]ServiceTimes, len(options.Faults))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(options.Workers, 1))
	for f, fault := range options.Faults {
		times[f] = make([]ServiceTimes, options.Seeds)
		for i := range options.Seeds {
			group.Go(func() error {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				measured, err := measureService(options.Scenario, fault, uint64(i+1))
				times[f][i] = measured
				if options.Progress != nil {
					options.Progress()
				}
				return err
			})
		}
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	reports := make([]ServiceReport, len(options.Faults))
	for f, fault := range options.Faults {
		reports[f] = buildServiceReport(fault, times[f])
	}
	return reports, nil
}

// buildServiceReport computes the quantiles and sums of one fault.
func buildServiceReport(fault Fault, seeds []ServiceTimes) ServiceReport {
	quantilesFor := func(pick func(*ServiceTimes) time.Duration) Quantiles {
		var all []time.Duration
		for i := range seeds {
			all = append(all, pick(&seeds[i]))
		}
		return computeQuantiles(all)
	}
	summary := ServiceReport{
		Fault:       fault,
		Planning:    quantilesFor(func(t *ServiceTimes) time.Duration { return t.Planning }),
		Apportioner: quantilesFor(func(t *ServiceTimes) time.Duration { return t.Apportioner }),
		UnderWay:    quantilesFor(func(t *ServiceTimes) time.Duration { return t.UnderWay }),
		Here:        quantilesFor(func(t *ServiceTimes) time.Duration { return t.Here }),
		Anywhere:    quantilesFor(func(t *ServiceTimes) time.Duration { return t.Anywhere }),
		Seeds:       seeds,
	}
	for i := range seeds {
		summary.Arrived += seeds[i].Arrived
		summary.Served += seeds[i].Served
		summary.Violations += seeds[i].violationCount
	}
	return summary
}

// computeQuantiles returns the quantiles of the durations that are not negative, by nearest rank.
func computeQuantiles(durations []time.Duration) Quantiles {
	var measured []time.Duration
	for _, duration := range durations {
		if duration >= 0 {
			measured = append(measured, duration)
		}
	}
	quantiles := Quantiles{Missing: len(durations) - len(measured)}
	if len(measured) == 0 {
		return quantiles
	}
	slices.Sort(measured)
	nearestRank := func(share float64) time.Duration {
		return measured[max(int(math.Ceil(share*float64(len(measured))))-1, 0)]
	}
	quantiles.P50, quantiles.P99, quantiles.Max = nearestRank(0.5), nearestRank(0.99), measured[len(measured)-1]
	return quantiles
}
