package plan

import (
	"os"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// Fault is one fault of a schedule.
type Fault struct {
	// At is when it begins, counted from the first request.
	At   time.Duration `yaml:"at" json:"at"`
	Kind Kind          `yaml:"kind" json:"kind"`
	Link Link          `yaml:"link,omitempty" json:"link,omitempty"`
	// Targets are numbers of nodes or workers, from zero.
	Targets []int `yaml:"targets,omitempty,flow" json:"targets,omitempty"`
	// For is how long the fault lasts; for a process that ends, how long until it
	// is started again.
	For time.Duration `yaml:"for,omitempty" json:"for,omitempty"`
	// Rate of CallerBurst, in calls a second, and of WorkerLimit, in requests a second.
	Rate int `yaml:"rate,omitempty" json:"rate,omitempty"`
	// Delay of LinkDelay, StoreSlow and WorkerLateOrders, and the rest that WorkerShed asks for.
	Delay time.Duration `yaml:"delay,omitempty" json:"delay,omitempty"`
}

// maxRate bounds a burst: more than that the soak's own process can't send.
const maxRate = 5000

// flowFault is a Fault that is written on one line.
type flowFault Fault

// MarshalYAML implements yaml.Marshaler.
func (f Fault) MarshalYAML() (any, error) {
	var node yaml.Node
	if err := node.Encode(flowFault(f)); err != nil {
		return nil, err
	}
	node.Style = yaml.FlowStyle
	return &node, nil
}

// End is when the fault is over, apart from what takes time to recover.
func (f *Fault) End() time.Duration { return f.At + f.For }

// Schedule is a run's deployment and its faults.
type Schedule struct {
	// Cause says in one line why the schedule is kept.
	Cause string `yaml:"cause,omitempty" json:"cause,omitempty"`
	Seed  uint64 `yaml:"seed" json:"seed"`
	// Nodes and Workers count the processes and the stand-ins of workers.
	Nodes   int `yaml:"nodes" json:"nodes"`
	Workers int `yaml:"workers" json:"workers"`
	// Fencing is set when workers refuse orders under an older fence.
	Fencing bool `yaml:"fencing" json:"fencing"`
	// Keyless deployments have no tenants: no caller needs a key, and no node asks the
	// store to prove which configuration is the newest.
	Keyless bool `yaml:"keyless,omitempty" json:"keyless,omitempty"`
	// CoreShare is how much of a core each node may use, as a quota of each tenth of a
	// second; zero for any.
	CoreShare float64 `yaml:"core_share,omitempty" json:"core_share,omitempty"`
	// Earlier are the nodes that run the earlier build to the end, where a run has one.
	Earlier []int `yaml:"earlier,omitempty,flow" json:"earlier,omitempty"`
	// MemoryMB is the memory of a node by its settings; zero for the soak's own figure.
	MemoryMB float64 `yaml:"memory_mb,omitempty" json:"memory_mb,omitempty"`
	// LinkMbps bounds what a node receives, and what it answers, in millions of bits a
	// second, over all of its links together; zero for any.
	LinkMbps float64 `yaml:"link_mbps,omitempty" json:"link_mbps,omitempty"`
	// ExtraRoutes and ExtraModels are in every version of the configuration and are asked
	// for by nobody: they give it the size of a real one.
	ExtraRoutes int `yaml:"extra_routes,omitempty" json:"extra_routes,omitempty"`
	ExtraModels int `yaml:"extra_models,omitempty" json:"extra_models,omitempty"`
	// ExtraWorkers are entries of workers of a service that no route leads to: with more of
	// them than a page holds, nodes that start learn everything of each other.
	ExtraWorkers int `yaml:"extra_workers,omitempty" json:"extra_workers,omitempty"`
	// Span is how long faults are injected.
	Span   time.Duration `yaml:"span" json:"span"`
	Faults []Fault       `yaml:"faults" json:"faults"`
}

// Encode returns the schedule's text.
func (s *Schedule) Encode() ([]byte, error) { return yaml.Marshal(s) }

// Parse reads a schedule's text.
func Parse(text []byte) (Schedule, error) {
	var schedule Schedule
	if err := yaml.Unmarshal(text, &schedule); err != nil {
		return schedule, eris.Wrap(err, "schedule")
	}
	return schedule, schedule.check()
}

// Read reads a schedule file.
func Read(path string) (Schedule, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Schedule{}, eris.Wrap(err, "schedule file")
	}
	schedule, err := Parse(text)
	return schedule, eris.Wrapf(err, "schedule file %s", path)
}

// check reports the first figure that is out of range.
func (s *Schedule) check() error {
	if s.Nodes < 1 || s.Workers < 1 || s.Span <= 0 {
		return eris.New("nodes, workers and span must be positive")
	}
	if s.CoreShare < 0 || s.MemoryMB < 0 || s.LinkMbps < 0 || s.ExtraRoutes < 0 || s.ExtraModels < 0 || s.ExtraWorkers < 0 {
		return eris.New("core_share, memory_mb, link_mbps, extra_routes, extra_models and extra_workers must not be negative")
	}
	if slices.ContainsFunc(s.Earlier, func(node int) bool { return node < 0 || node >= s.Nodes }) {
		return eris.New("earlier names a node that there is not")
	}
	for i := range s.Faults {
		fault := &s.Faults[i]
		known, found := describe(fault.Kind)
		if !found {
			return eris.Errorf("fault %d: there is no kind %q", i+1, fault.Kind)
		}
		if fault.Kind == CallerBurst && (fault.Rate < 1 || fault.Rate > maxRate) {
			return eris.Errorf("fault %d: the rate must be from 1 to %d a second", i+1, maxRate)
		}
		if known.class == onLink && !slices.Contains(links, fault.Link) {
			return eris.Errorf("fault %d: there is no link %q", i+1, fault.Link)
		}
		most := s.Nodes
		if known.class == onWorkers || fault.Link == LinkWorker {
			most = s.Workers
		}
		for _, target := range fault.Targets {
			if target < 0 || target >= most {
				return eris.Errorf("fault %d: there is no target %d", i+1, target)
			}
		}
	}
	return nil
}

// Until returns the schedule without the faults that begin at a time or later.
func (s Schedule) Until(end time.Duration) Schedule {
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return f.At >= end })
	s.Span = min(s.Span, end)
	return s
}
