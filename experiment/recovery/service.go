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

// Fault is a fault whose recovery is measured.
type Fault string

// The faults. Each happens while the controller of the zone has just ordered a
// load for a waiting request.
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
	// FaultKeyValueControllers restarts the controllers of all zones.
	FaultKeyValueControllers Fault = "key-value-down-controllers"
)

// Faults lists all, in the order in which they are reported.
func Faults() []Fault {
	return []Fault{
		FaultNone, FaultControllerCrash, FaultControllerPause, FaultControllerStop,
		FaultCrashLostAnswers, FaultApportionerCrash, FaultEngineCrash,
		FaultReclaimNotice, FaultReclaimSudden, FaultZoneCut,
		FaultKeyValueDown, FaultKeyValueRestarts, FaultKeyValueControllers,
	}
}

// ServiceTimes are the times of one seed, all from the fault on. A time is
// negative when what it measures did not happen.
type ServiceTimes struct {
	Seed uint64 `json:"seed"`
	// Planning is the longest time after the fault without a plan of the
	// zone's newest controller.
	Planning time.Duration `json:"planning"`
	// Apportioner is the time until a live node is the apportioner.
	Apportioner time.Duration `json:"apportioner"`
	// UnderWay is the time until the request is served whose model was being
	// loaded when the fault happened.
	UnderWay time.Duration `json:"under_way"`
	// Here and Anywhere are the times until requests are served that came just
	// after the fault for cold models, one of which only the zone may hold.
	Here     time.Duration `json:"here"`
	Anywhere time.Duration `json:"anywhere"`
	// Arrived and Served count the requests that came after the fault.
	Arrived    int                    `json:"arrived"`
	Served     int                    `json:"served"`
	Violations []simulation.Violation `json:"violations,omitempty"`
	violated   int
}

// Quantiles of a measured time over the seeds. Missing counts the seeds in
// which it did not happen; they count in no quantile.
type Quantiles struct {
	P50     time.Duration `json:"p50"`
	P99     time.Duration `json:"p99"`
	Max     time.Duration `json:"max"`
	Missing int           `json:"missing"`
}

// ServiceReport sums one fault's seeds up.
type ServiceReport struct {
	Fault       Fault     `json:"fault"`
	Planning    Quantiles `json:"planning"`
	Apportioner Quantiles `json:"apportioner"`
	UnderWay    Quantiles `json:"under_way"`
	Here        Quantiles `json:"here"`
	Anywhere    Quantiles `json:"anywhere"`
	// Arrived and Served count the requests that came after the fault.
	Arrived    int            `json:"arrived"`
	Served     int            `json:"served"`
	Violations int            `json:"violations"`
	Seeds      []ServiceTimes `json:"seeds"`
}

// ServiceOptions of MeasureService.
type ServiceOptions struct {
	// Scenario must have the zone and the models of the committed one named
	// recovery.
	Scenario *experiment.Scenario
	Faults   []Fault
	// Seeds of each fault, and the Workers that run at once.
	Seeds, Workers int
	// Progress is called after each run; nil means none.
	Progress func()
}

// MeasureService measures every fault over every seed. The result does not
// depend on the number of workers.
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
		reports[f] = summarize(fault, times[f])
	}
	return reports, nil
}

// summarize computes the quantiles of one fault.
func summarize(fault Fault, seeds []ServiceTimes) ServiceReport {
	of := func(pick func(*ServiceTimes) time.Duration) Quantiles {
		var all []time.Duration
		for i := range seeds {
			all = append(all, pick(&seeds[i]))
		}
		return quantilesOf(all)
	}
	summary := ServiceReport{
		Fault:       fault,
		Planning:    of(func(t *ServiceTimes) time.Duration { return t.Planning }),
		Apportioner: of(func(t *ServiceTimes) time.Duration { return t.Apportioner }),
		UnderWay:    of(func(t *ServiceTimes) time.Duration { return t.UnderWay }),
		Here:        of(func(t *ServiceTimes) time.Duration { return t.Here }),
		Anywhere:    of(func(t *ServiceTimes) time.Duration { return t.Anywhere }),
		Seeds:       seeds,
	}
	for i := range seeds {
		summary.Arrived += seeds[i].Arrived
		summary.Served += seeds[i].Served
		summary.Violations += seeds[i].violated
	}
	return summary
}

// quantilesOf the times that are not negative, by nearest rank.
func quantilesOf(all []time.Duration) Quantiles {
	var happened []time.Duration
	for _, one := range all {
		if one >= 0 {
			happened = append(happened, one)
		}
	}
	found := Quantiles{Missing: len(all) - len(happened)}
	if len(happened) == 0 {
		return found
	}
	slices.Sort(happened)
	rank := func(share float64) time.Duration {
		return happened[max(int(math.Ceil(share*float64(len(happened))))-1, 0)]
	}
	found.P50, found.P99, found.Max = rank(0.5), rank(0.99), happened[len(happened)-1]
	return found
}
