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

// builtinScenarios holds the embedded scenarios.
//
//go:embed scenarios/*.yaml
var builtinScenarios embed.FS

// Scenario is a deployment with its models, traffic and faults.
type Scenario struct {
	// Name is the name of the scenario and of its file.
	Name string `yaml:"name"`
	// Description describes the scenario in one sentence.
	Description string `yaml:"description"`
	// Warmup is the time before the measurement, Duration that of the measurement.
	Warmup   time.Duration `yaml:"warmup"`
	Duration time.Duration `yaml:"duration"`
	// ClientDelay is the one-way delay between clients and nodes.
	ClientDelay time.Duration `yaml:"client_delay"`
	Network     Network       `yaml:"network"`
	Zones       []Zone        `yaml:"zones"`
	Store       Store         `yaml:"store"`
	KeyValue    KeyValue      `yaml:"key_value"`
	// MachineListLag is the delay with which the machine list shows changes.
	MachineListLag time.Duration `yaml:"machine_list_lag"`
	Workers        []Worker      `yaml:"workers"`
	Models         []ModelGroup  `yaml:"models"`
	Traffic        []Traffic     `yaml:"traffic"`
	Faults         []Fault       `yaml:"faults"`
	FaultRates     []FaultRate   `yaml:"fault_rates"`
}

// Network holds the one-way delays and the faults of messages.
type Network struct {
	WithinZone     time.Duration `yaml:"within_zone"`
	BetweenZones   time.Duration `yaml:"between_zones"`
	BetweenRegions time.Duration `yaml:"between_regions"`
	// Jitter is the random increase of a delay, as a share of the delay.
	Jitter float64 `yaml:"jitter"`
	// Loss, Duplication and Reordering are the shares of messages between nodes that are affected,
	// 0 to 1.
	Loss        float64 `yaml:"loss"`
	Duplication float64 `yaml:"duplication"`
	Reordering  float64 `yaml:"reordering"`
}

// Zone is a zone of the deployment.
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
	// Rate is the maximum rate of one load in bytes per second.
	Rate Bytes `yaml:"rate"`
}

// KeyValue is the key-value service.
type KeyValue struct {
	// Delay is the processing time of the service for a request.
	Delay time.Duration `yaml:"delay"`
	// RequestsPerSecond limits the requests that the service processes; zero means unlimited.
	RequestsPerSecond float64 `yaml:"requests_per_second"`
}

// Worker is a class of back-end machines, which are distributed evenly over the zones.
type Worker struct {
	Pool         string `yaml:"pool"`
	Count        int    `yaml:"count"`
	Accelerators int    `yaml:"accelerators"`
	// Memory is the total memory of the accelerators of a machine.
	Memory Bytes `yaml:"memory"`
	// Slots is the number of concurrent requests.
	Slots int `yaml:"slots"`
	// Disk and Host are the capacities of the checkpoint caches on disk and in host memory.
	Disk Bytes `yaml:"disk"`
	Host Bytes `yaml:"host"`
	// DiskRate and HostRate are the load rates from these caches in bytes per second.
	DiskRate Bytes `yaml:"disk_rate"`
	HostRate Bytes `yaml:"host_rate"`
	// LoadOverhead is the fixed time of every load.
	LoadOverhead time.Duration `yaml:"load_overhead"`
	// PrefillRate is in tokens per second.
	PrefillRate float64 `yaml:"prefill_rate"`
	// TokenTime is the time between tokens of a single request. TokenTimeSlope is added for each
	// further concurrent request.
	TokenTime      time.Duration `yaml:"token_time"`
	TokenTimeSlope time.Duration `yaml:"token_time_slope"`
	// RestartTime is how long a crashed engine takes to restart.
	RestartTime time.Duration `yaml:"restart_time"`
}

// ModelGroup is a set of similar models with their adapters.
type ModelGroup struct {
	// Name is the prefix of the models' names and the name of the team.
	Name  string `yaml:"name"`
	Pool  string `yaml:"pool"`
	Count int    `yaml:"count"`
	// Memory is the size of a replica, random between Least and Most on a logarithmic scale.
	Memory ByteRange `yaml:"memory"`
	// Adapters is the number of adapters, which are distributed over the group's models.
	Adapters      int       `yaml:"adapters"`
	AdapterMemory ByteRange `yaml:"adapter_memory"`
	// Policy holds the policy keys of the group, with the names and units of the settings tree.
	Policy map[string]any `yaml:"policy"`
	// OnDisk and InHost are the shares of machine caches that hold a model at the start.
	OnDisk float64 `yaml:"on_disk"`
	InHost float64 `yaml:"in_host"`
}

// ByteRange is a range of sizes.
type ByteRange struct {
	Least Bytes `yaml:"least"`
	Most  Bytes `yaml:"most"`
}

// Bytes is a number of bytes. In YAML it needs a unit, such as 16GiB or 500MB.
type Bytes int64

// byteUnits lists the units; a unit comes before those that are a suffix of it.
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

// Load reads the built-in scenario of that name, or else the file of that name.
func Load(name string) (*Scenario, error) {
	data, err := builtinScenarios.ReadFile("scenarios/" + name + ".yaml")
	if err != nil {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read scenario %q; built-in scenarios are %s", name, strings.Join(Names(), ", "))
	}
	return Parse(data)
}

// Names returns the sorted names of the built-in scenarios.
func Names() []string {
	entries, err := builtinScenarios.ReadDir("scenarios")
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

// Parse decodes and validates a scenario. Unknown keys are errors.
func Parse(data []byte) (*Scenario, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	var scenario Scenario
	if err := decoder.Decode(&scenario); err != nil {
		return nil, eris.Wrap(err, "decode scenario")
	}
	if err := scenario.Validate(); err != nil {
		return nil, err
	}
	return &scenario, nil
}
