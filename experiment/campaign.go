package experiment

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/valveslip/valveslip/simulation"
)

// Campaign runs a scenario with faults over many seeds.
type Campaign struct {
	Scenario  *Scenario
	FirstSeed uint64
	Seeds     int
	Workers   int
	// Progress is called after each seed unless nil.
	Progress func()
}

// CampaignReport aggregates the seeds of a campaign.
type CampaignReport struct {
	Scenario string                        `json:"scenario"`
	Seeds    int                           `json:"seeds"`
	Events   uint64                        `json:"events"`
	Arrived  int                           `json:"arrived"`
	Served   int                           `json:"served"`
	Refused  int                           `json:"refused"`
	Failed   int                           `json:"failed"`
	Lost     int                           `json:"connections_lost"`
	Faults   map[simulation.FaultKind]int  `json:"faults"`
	Checked  map[simulation.Promise]uint64 `json:"checked"`
	Violated map[simulation.Promise]int    `json:"violated"`
	// Failing holds the reports of the seeds with violations, in order of the seeds.
	Failing []*WorldReport `json:"failing"`
}

// Violations returns the total number of violations.
func (r *CampaignReport) Violations() int {
	total := 0
	for _, count := range r.Violated {
		total += count
	}
	return total
}

// Run runs all seeds and returns the aggregated report.
func (c *Campaign) Run(ctx context.Context) (*CampaignReport, error) {
	policy, err := parsePolicy("adaptive")
	if err != nil {
		return nil, err
	}
	reports := make([]*WorldReport, c.Seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(c.Workers, 1))
	var mutex sync.Mutex
	for i := range c.Seeds {
		group.Go(func() error {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			seed := c.FirstSeed + uint64(i)
			result, err := RunWorld(c.Scenario, policy, seed, WorldOptions{Faults: true, EncodeMessages: true})
			reports[i] = result
			if c.Progress != nil {
				mutex.Lock()
				defer mutex.Unlock()
				c.Progress()
			}
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return c.aggregate(reports), nil
}

// aggregate sums the reports of the seeds.
func (c *Campaign) aggregate(reports []*WorldReport) *CampaignReport {
	total := &CampaignReport{
		Scenario: c.Scenario.Name, Seeds: c.Seeds, Faults: map[simulation.FaultKind]int{},
		Checked: map[simulation.Promise]uint64{}, Violated: map[simulation.Promise]int{},
	}
	for _, report := range reports {
		total.Events += report.Events
		total.Arrived += report.Arrived
		total.Served += report.Served
		total.Refused += report.Refused
		total.Failed += report.Failed
		total.Lost += report.Lost
		for kind, count := range report.Faults {
			total.Faults[kind] += count
		}
		for promise, count := range report.Checked {
			total.Checked[promise] += count
		}
		for promise, count := range report.Violated {
			total.Violated[promise] += count
		}
		if report.Total() > 0 {
			total.Failing = append(total.Failing, report)
		}
	}
	return total
}
