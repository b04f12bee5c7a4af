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
	// At is when the fault begins, counted from the first request.
	At   time.Duration `yaml:"at" json:"at"`
	Kind Kind          `yaml:"kind" json:"kind"`
	Link Link          `yaml:"link,omitempty" json:"link,omitempty"`
	// Targets are zero-based indexes of nodes or workers.
	Targets []int `yaml:"targets,omitempty,flow" json:"targets,omitempty"`
	// For is how long the fault lasts. For a process that ends, it is the time until
	// the process is started again.
	For time.Duration `yaml:"for,omitempty" json:"for,omitempty"`
	// Rate is in calls per second for CallerBurst, in requests per second for WorkerLimit, and the
	// number of rejections per second that a worker bears for WorkerBrittle.
	Rate int `yaml:"rate,omitempty" json:"rate,omitempty"`
	// Delay is what LinkDelay, StoreSlow and WorkerLateOrders add, and the back-off that
	// WorkerShed asks for. For WorkerLateEntry it is the time from the start until the entry is written. For StoreRestore it is the age of the copy when the store goes away.
	Delay time.Duration `yaml:"delay,omitempty" json:"delay,omitempty"`
	// Release is the software version with which workers start after WorkerCrash, WorkerRestart and WorkerDrain, with
	// the models that they held, until another fault changes it. Empty leaves it as it is.
	Release string `yaml:"release,omitempty" json:"release,omitempty"`
}

// maxRatePerSecond bounds the rate of a burst. The soak process itself can't send more.
const maxRatePerSecond = 5000

// maxReleases bounds the software versions of the workers that serve side by side from the start.
const maxReleases = 4

// maxStreamEvents bounds the events of a stream, which must end within the time limit of its route.
const maxStreamEvents = 100

// flowFault is a Fault without its MarshalYAML method, which would call itself.
type flowFault Fault

// MarshalYAML implements yaml.Marshaler and writes the fault on one line.
func (f Fault) MarshalYAML() (any, error) {
	var node yaml.Node
	if err := node.Encode(flowFault(f)); err != nil {
		return nil, err
	}
	node.Style = yaml.FlowStyle
	return &node, nil
}

// End returns when the fault ends. Recovery from it may take longer.
func (f *Fault) End() time.Duration {
	if f.Kind == StoreRestore {
		return f.At + f.Delay + f.For
	}
	return f.At + f.For
}

// Schedule describes the deployment of a run and the faults injected into it.
type Schedule struct {
	// Cause says in one line why the schedule is kept.
	Cause string `yaml:"cause,omitempty" json:"cause,omitempty"`
	Seed  uint64 `yaml:"seed" json:"seed"`
	// Nodes and Workers are the numbers of node processes and simulated workers.
	Nodes   int `yaml:"nodes" json:"nodes"`
	Workers int `yaml:"workers" json:"workers"`
	// Fencing is set when workers refuse orders with an outdated fencing token.
	Fencing bool `yaml:"fencing" json:"fencing"`
	// Releases is the number of software versions of the workers that serve side by side; zero
	// means one.
	Releases int `yaml:"releases,omitempty" json:"releases,omitempty"`
	// StreamEvents is the number of events of a stream; zero selects the soak's default.
	StreamEvents int `yaml:"stream_events,omitempty" json:"stream_events,omitempty"`
	// TakeUps is how often in a row callers try to take up a stream that has broken off until one of the tries brings
	// an event; zero means once, unless it is refused.
	TakeUps int `yaml:"take_ups,omitempty" json:"take_ups,omitempty"`
	// HarmfulPart is set if some callers send requests with a part of their prompts that crashes
	// engines.
	HarmfulPart bool `yaml:"harmful_part,omitempty" json:"harmful_part,omitempty"`
	// Keyless deployments have no tenants: no caller needs a key, and no node asks the
	// store to prove which configuration is the newest.
	Keyless bool `yaml:"keyless,omitempty" json:"keyless,omitempty"`
	// CoreShare is the share of a processor core that each node may use, enforced as a
	// quota per period of 100 ms; zero sets no limit.
	CoreShare float64 `yaml:"core_share,omitempty" json:"core_share,omitempty"`
	// Earlier are the nodes that keep the earlier build for the whole run, if the run has one.
	Earlier []int `yaml:"earlier,omitempty,flow" json:"earlier,omitempty"`
	// MemoryMB is the memory limit in a node's settings; zero selects the soak's default.
	MemoryMB float64 `yaml:"memory_mb,omitempty" json:"memory_mb,omitempty"`
	// LinkMbps limits what a node receives, and separately what it answers, in megabits per
	// second over all of its links together; zero sets no limit.
	LinkMbps float64 `yaml:"link_mbps,omitempty" json:"link_mbps,omitempty"`
	// ExtraRoutes and ExtraModels are included in every version of the configuration but
	// never requested. They give the configuration a realistic size.
	ExtraRoutes int `yaml:"extra_routes,omitempty" json:"extra_routes,omitempty"`
	ExtraModels int `yaml:"extra_models,omitempty" json:"extra_models,omitempty"`
	// ExtraWorkers is the number of store entries for workers of a service without a route.
	// With more of them than a page holds, starting nodes learn all state from each other.
	ExtraWorkers int `yaml:"extra_workers,omitempty" json:"extra_workers,omitempty"`
	// Span is how long faults are injected.
	Span   time.Duration `yaml:"span" json:"span"`
	Faults []Fault       `yaml:"faults" json:"faults"`
}

// Encode returns the schedule as YAML.
func (s *Schedule) Encode() ([]byte, error) { return yaml.Marshal(s) }

// Parse reads a schedule from YAML and validates it.
func Parse(text []byte) (Schedule, error) {
	var schedule Schedule
	if err := yaml.Unmarshal(text, &schedule); err != nil {
		return schedule, eris.Wrap(err, "parse schedule")
	}
	return schedule, schedule.validate()
}

// Read reads and validates a schedule file.
func Read(path string) (Schedule, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Schedule{}, eris.Wrap(err, "read schedule file")
	}
	schedule, err := Parse(text)
	return schedule, eris.Wrapf(err, "load schedule file %s", path)
}

// validate returns an error for the first field that is out of range.
func (s *Schedule) validate() error {
	if s.Nodes < 1 || s.Workers < 1 || s.Span <= 0 {
		return eris.New("nodes, workers and span must be positive")
	}
	if s.Releases < 0 || s.Releases > maxReleases {
		return eris.Errorf("releases must be from 0 to %d", maxReleases)
	}
	if s.StreamEvents < 0 || s.StreamEvents > maxStreamEvents || s.TakeUps < 0 {
		return eris.Errorf("stream_events must be from 0 to %d, and take_ups not negative", maxStreamEvents)
	}
	if s.CoreShare < 0 || s.MemoryMB < 0 || s.LinkMbps < 0 || s.ExtraRoutes < 0 || s.ExtraModels < 0 || s.ExtraWorkers < 0 {
		return eris.New("core_share, memory_mb, link_mbps, extra_routes, extra_models and extra_workers must not be negative")
	}
	if slices.ContainsFunc(s.Earlier, func(node int) bool { return node < 0 || node >= s.Nodes }) {
		return eris.New("earlier names a node that does not exist")
	}
	for i := range s.Faults {
		fault := &s.Faults[i]
		known, found := lookUpKind(fault.Kind)
		if !found {
			return eris.Errorf("fault %d: unknown kind %q", i+1, fault.Kind)
		}
		if fault.Kind == CallerBurst && (fault.Rate < 1 || fault.Rate > maxRatePerSecond) {
			return eris.Errorf("fault %d: rate must be from 1 to %d per second", i+1, maxRatePerSecond)
		}
		if fault.Release != "" && !slices.Contains(releaseChangeKinds, fault.Kind) {
			return eris.Errorf("fault %d: %s starts no worker with a release", i+1, fault.Kind)
		}
		if known.class == onLink && !slices.Contains(links, fault.Link) {
			return eris.Errorf("fault %d: unknown link %q", i+1, fault.Link)
		}
		most := s.Nodes
		if known.class == onWorkers || fault.Link == LinkWorker {
			most = s.Workers
		}
		for _, target := range fault.Targets {
			if target < 0 || target >= most {
				return eris.Errorf("fault %d: target %d does not exist", i+1, target)
			}
		}
	}
	return nil
}

// Until returns the schedule truncated to end, without the faults that begin at end or later.
func (s Schedule) Until(end time.Duration) Schedule {
	s.Faults = slices.DeleteFunc(slices.Clone(s.Faults), func(f Fault) bool { return f.At >= end })
	s.Span = min(s.Span, end)
	return s
}
