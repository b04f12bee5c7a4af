package experiment

import (
	"bytes"
	"embed"
	"fmt"
	"os"
	"path"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"go.yaml.in/yaml/v3"
)

// builtin holds the committed scenarios.
//
//go:embed scenarios/*.yaml
var builtin embed.FS

// Scenario is a deployment with its models, traffic and faults.
type Scenario struct {
	// Name of the scenario, that of its file.
	Name string `yaml:"name"`
	// Description in one sentence.
	Description string `yaml:"description"`
	// Warmup runs before measurements begin, Duration is measured.
	Warmup   time.Duration `yaml:"warmup"`
	Duration time.Duration `yaml:"duration"`
	// ClientDelay is the one-way delay between callers and nodes.
	ClientDelay time.Duration `yaml:"client_delay"`
	Network     Network       `yaml:"network"`
	Zones       []Zone        `yaml:"zones"`
	Store       Store         `yaml:"store"`
	KeyValue    KeyValue      `yaml:"key_value"`
	// MachineListLag is how late the machine list shows changes.
	MachineListLag time.Duration `yaml:"machine_list_lag"`
	Workers        []Worker      `yaml:"workers"`
	Models         []ModelGroup  `yaml:"models"`
	Traffic        []Traffic     `yaml:"traffic"`
	Faults         []Fault       `yaml:"faults"`
	FaultRates     []FaultRate   `yaml:"fault_rates"`
}

// Network holds the one-way delays.
type Network struct {
	WithinZone     time.Duration `yaml:"within_zone"`
	BetweenZones   time.Duration `yaml:"between_zones"`
	BetweenRegions time.Duration `yaml:"between_regions"`
	// Jitter is the share of a delay added at random.
	Jitter float64 `yaml:"jitter"`
	// Loss, Duplication and Reordering of messages between nodes, 0 to 1.
	Loss        float64 `yaml:"loss"`
	Duplication float64 `yaml:"duplication"`
	Reordering  float64 `yaml:"reordering"`
}

// Zone is one zone.
type Zone struct {
	Name   string `yaml:"name"`
	Region string `yaml:"region"`
	// Nodes is the number of valveslip nodes.
	Nodes int `yaml:"nodes"`
}

// Store is the weight store.
type Store struct {
	StartsPerSecond float64 `yaml:"starts_per_second"`
	Concurrency     int     `yaml:"concurrency"`
	// Rate of one load at full speed, bytes a second.
	Rate Bytes `yaml:"rate"`
}

// KeyValue is the key-value service.
type KeyValue struct {
	// Delay is the service's own time for an answer.
	Delay time.Duration `yaml:"delay"`
	// RequestsPerSecond it answers; zero means unlimited.
	RequestsPerSecond float64 `yaml:"requests_per_second"`
}

// Worker is a class of back-end machines, spread evenly over the zones.
type Worker struct {
	Pool         string `yaml:"pool"`
	Count        int    `yaml:"count"`
	Accelerators int    `yaml:"accelerators"`
	// Memory of all accelerators of a machine.
	Memory Bytes `yaml:"memory"`
	// Slots is how many requests run at once.
	Slots int `yaml:"slots"`
	// Disk and Host bound the checkpoint caches.
	Disk Bytes `yaml:"disk"`
	Host Bytes `yaml:"host"`
	// DiskRate and HostRate of a load from there, bytes a second.
	DiskRate Bytes `yaml:"disk_rate"`
	HostRate Bytes `yaml:"host_rate"`
	// LoadOverhead is added to every load.
	LoadOverhead time.Duration `yaml:"load_overhead"`
	// PrefillRate in tokens a second.
	PrefillRate float64 `yaml:"prefill_rate"`
	// TokenTime between tokens alone; TokenTimeSlope for each further request.
	TokenTime      time.Duration `yaml:"token_time"`
	TokenTimeSlope time.Duration `yaml:"token_time_slope"`
	// RestartTime of a dead engine.
	RestartTime time.Duration `yaml:"restart_time"`
}

// ModelGroup is a set of similar models with their adapters.
type ModelGroup struct {
	// Name prefixes the models' names and is the team's name.
	Name  string `yaml:"name"`
	Pool  string `yaml:"pool"`
	Count int    `yaml:"count"`
	// Memory of a replica, drawn between Least and Most on a log scale.
	Memory ByteRange `yaml:"memory"`
	// Adapters are spread over the group's models.
	Adapters      int       `yaml:"adapters"`
	AdapterMemory ByteRange `yaml:"adapter_memory"`
	// Policy keys of the group, in the settings tree's own names and units.
	Policy map[string]any `yaml:"policy"`
	// OnDisk and InHost are the shares of machine caches that hold a model at
	// the start.
	OnDisk float64 `yaml:"on_disk"`
	InHost float64 `yaml:"in_host"`
}

// ByteRange is a range of sizes.
type ByteRange struct {
	Least Bytes `yaml:"least"`
	Most  Bytes `yaml:"most"`
}

// Bytes is a number of bytes; YAML takes units such as 16GiB or 500MB.
type Bytes int64

// byteUnits by suffix, longest first.
var byteUnits = []struct {
	suffix string
	factor float64
}{
	{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"GB", 1e9}, {"MB", 1e6}, {"KB", 1e3}, {"B", 1},
}

// UnmarshalYAML implements yaml.Unmarshaler.
func (b *Bytes) UnmarshalYAML(value *yaml.Node) error {
	for _, unit := range byteUnits {
		number, found := strings.CutSuffix(value.Value, unit.suffix)
		if !found {
			continue
		}
		var count float64
		if _, err := fmt.Sscanf(number, "%g", &count); err != nil {
			return eris.Errorf("line %d: %q is not a size", value.Line, value.Value)
		}
		*b = Bytes(count * unit.factor)
		return nil
	}
	return eris.Errorf("line %d: size %q needs a unit, such as 16GiB", value.Line, value.Value)
}

// Load reads the committed scenario of that name, or else the file.
func Load(name string) (*Scenario, error) {
	data, err := builtin.ReadFile("scenarios/" + name + ".yaml")
	if err != nil {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read scenario %q; committed ones are %s", name, strings.Join(Names(), ", "))
	}
	return Parse(data)
}

// Names lists the committed scenarios.
func Names() []string {
	entries, err := builtin.ReadDir("scenarios")
	if err != nil {
		return nil
	}
	var names []string
	for _, entry := range entries {
		names = append(names, strings.TrimSuffix(path.Base(entry.Name()), ".yaml"))
	}
	sort.Strings(names)
	return names
}

// Parse reads and validates a scenario. Unknown keys are errors.
func Parse(data []byte) (*Scenario, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	var scenario Scenario
	if err := decoder.Decode(&scenario); err != nil {
		return nil, eris.Wrap(err, "scenario")
	}
	if err := scenario.Validate(); err != nil {
		return nil, err
	}
	return &scenario, nil
}
