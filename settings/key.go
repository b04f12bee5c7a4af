package settings

import (
	"cmp"
	"fmt"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/internal/spelling"
)

// KeyBase is the key that names an adapter's base model. It is not inherited.
const KeyBase = "base"

// Key documents and validates one policy key. The registry of keys is the only place that defines
// their names, types, defaults and bounds.
type Key struct {
	// Name in YAML and JSON.
	Name string
	// Type of the value, such as "duration".
	Type string
	// Example of a value, as JSON.
	Example string
	// Default value, as JSON. It is empty for keys without a default.
	Default Value
	// Bounds of the value as text, empty if there are none.
	Bounds string
	// Doc describes the key in one sentence.
	Doc string

	schema map[string]any
	// parseInto parses and validates a value and stores it in a policy.
	parseInto func(*Policy, Value) error
	// readFrom returns the canonical form of the value stored in a policy.
	readFrom func(*Policy) Value
}

// constraint is a check of a value, with its description.
type constraint[T any] struct {
	description string
	check       func(T) bool
}

func unconstrained[T any]() constraint[T] {
	return constraint[T]{check: func(T) bool { return true }}
}

func inRange[T cmp.Ordered](low, high T, format func(T) Value) constraint[T] {
	return constraint[T]{
		description: fmt.Sprintf("%s to %s", format(low), format(high)),
		check:       func(v T) bool { return v >= low && v <= high },
	}
}

// newKey returns the key that reads and writes the given field of Policy.
func newKey[T any](name string, typ valueType[T], defaultValue T, allowed constraint[T], field func(*Policy) *T, doc string) Key {
	key := Key{
		Name: name, Type: typ.name, Example: typ.example,
		Default: typ.format(defaultValue), Bounds: allowed.description, Doc: doc, schema: typ.schema,
	}
	key.parseInto = func(policy *Policy, value Value) error {
		parsed, err := typ.parse(value)
		if err != nil {
			return err
		}
		if !allowed.check(parsed) {
			return fmt.Errorf("%s is out of bounds: %s", value, allowed.description)
		}
		*field(policy) = parsed
		return nil
	}
	key.readFrom = func(policy *Policy) Value { return typ.format(*field(policy)) }
	return key
}

// Bounds that several keys share.
const (
	maxReplicaCount  = 10_000
	maxRequestCount  = 1_000_000
	maxRatePerSecond = 1e12
	day              = 24 * time.Hour
)

// keys is the registry, in the order of the reference page.
var keys = []Key{
	newKey("min_replicas", integerType, 0, inRange(0, maxReplicaCount, integerType.format),
		func(p *Policy) *int { return &p.MinReplicas },
		"Replicas kept loaded even when idle, over all zones."),
	newKey("max_replicas", integerType, 1, inRange(0, maxReplicaCount, integerType.format),
		func(p *Policy) *int { return &p.MaxReplicas },
		"Upper bound of replicas over all zones; 0 turns a model off."),
	newKey("zones", namesType[cluster.ZoneID](), []cluster.ZoneID{}, unconstrained[[]cluster.ZoneID](),
		func(p *Policy) *[]cluster.ZoneID { return &p.Zones },
		"Zones that may hold replicas; an empty list means all zones."),
	newKey("memory", bytesType, 8<<30, inRange(1, 1<<50, bytesType.format),
		func(p *Policy) *int64 { return &p.Memory },
		"Machine memory that one replica occupies."),
	newKey("keep_alive", durationType, 10*time.Minute, inRange(0, 7*day, durationType.format),
		func(p *Policy) *time.Duration { return &p.KeepAlive },
		"How long an idle replica stays loaded while its idle times are not yet known; a learned time is at most 16 times as long."),
	newKey("cold_start_weight", numberType, 0.5, inRange(0, 1, formatNumber),
		func(p *Policy) *float64 { return &p.ColdStartWeight },
		"Weighs tail cold-start time against idle accelerator hours: 1 prefers short cold starts, 0 few idle hours."),
	newKey("priority", integerType, 0, inRange(-1000, 1000, integerType.format),
		func(p *Policy) *int { return &p.Priority },
		"Priority of waiting requests; larger goes first."),
	newKey("max_concurrency", integerType, 0, inRange(0, maxRequestCount, integerType.format),
		func(p *Policy) *int { return &p.MaxConcurrency },
		"Requests admitted at once below the level that sets it, over the whole system; 0 means unlimited."),
	newKey("requests_per_second", rateType, 0, inRange(0, maxRatePerSecond, formatNumber),
		func(p *Policy) *float64 { return &p.RequestsPerSecond },
		"Requests admitted a second below the level that sets it, over the whole system; 0 means unlimited."),
	newKey("tokens_per_second", rateType, 0, inRange(0, maxRatePerSecond, formatNumber),
		func(p *Policy) *float64 { return &p.TokensPerSecond },
		"Prompt and generated tokens a second below the level that sets it, over the whole system; 0 means unlimited."),
	newKey("queue_length", integerType, 100, inRange(0, maxRequestCount, integerType.format),
		func(p *Policy) *int { return &p.QueueLength },
		"Requests of a model that may wait on one node."),
	newKey("queue_bytes", bytesType, 64<<20, inRange(0, 1<<40, bytesType.format),
		func(p *Policy) *int64 { return &p.QueueBytes },
		"Bytes of request bodies of a model that may wait on one node."),
	newKey("queue_time", durationType, time.Minute, inRange(0, day, durationType.format),
		func(p *Policy) *time.Duration { return &p.QueueTime },
		"How long a request may wait for dispatch."),
	newKey("deadline", durationType, 5*time.Minute, inRange(time.Millisecond, day, durationType.format),
		func(p *Policy) *time.Duration { return &p.Deadline },
		"Time for a whole request when the caller states none."),
	newKey("retry_attempts", integerType, 3, inRange(1, 10, integerType.format),
		func(p *Policy) *int { return &p.RetryAttempts },
		"Dispatches of one request, the first included."),
	newKey("repeatable", booleanType, false, unconstrained[bool](),
		func(p *Policy) *bool { return &p.Repeatable },
		"Whether a request that does not say may run more than once."),
	newKey("engine_pool", nameType, "default", unconstrained[string](),
		func(p *Policy) *string { return &p.EnginePool },
		"Engine pool whose machines may hold the model."),
	newKey("version", nameType, "1", unconstrained[string](),
		func(p *Policy) *string { return &p.Version },
		"Version of the checkpoint to load."),
	newKey("drain_time", durationType, 30*time.Second, inRange(0, time.Hour, durationType.format),
		func(p *Policy) *time.Duration { return &p.DrainTime },
		"How long a replica that is unloaded may finish its requests."),
}

// baseKey is the only key outside the registry of policy keys: it applies to adapters only and is
// not inherited.
var baseKey = Key{
	Name: KeyBase, Type: nameType.name, Example: `"receipts-7b"`, schema: nameType.schema,
	Doc:       "Base model of an adapter; the closest model above when left out. Not inherited.",
	parseInto: func(_ *Policy, value Value) error { _, err := nameType.parse(value); return err },
}

// keyIndex maps names to policy keys.
var keyIndex = func() map[string]*Key {
	index := make(map[string]*Key, len(keys))
	for i := range keys {
		index[keys[i].Name] = &keys[i]
	}
	return index
}()

// Keys returns the registry of inheritable policy keys, in the order of the reference page.
func Keys() []Key { return append([]Key(nil), keys...) }

// Defaults returns the policy that applies if no level sets any key.
func Defaults() Policy {
	policy := Policy{}
	for i := range keys {
		if err := keys[i].parseInto(&policy, keys[i].Default); err != nil {
			panic(keys[i].Name + ": " + err.Error())
		}
	}
	return policy
}

// Get returns the canonical value of a key in the policy, and false if the key is unknown.
func (p *Policy) Get(key string) (Value, bool) {
	known, ok := keyIndex[key]
	if !ok {
		return "", false
	}
	return known.readFrom(p), true
}

// normaliseValue validates a value of the named key and returns its canonical form.
func normaliseValue(name string, value Value) (Value, error) {
	if name == KeyBase {
		return value, baseKey.parseInto(nil, value)
	}
	key, known := keyIndex[name]
	if !known {
		return "", fmt.Errorf("unknown key%s", suggestion(name))
	}
	var policy Policy
	if err := key.parseInto(&policy, value); err != nil {
		return "", err
	}
	return key.readFrom(&policy), nil
}

// ParseValue parses a value in the form used on a command line: names, durations and sizes without
// quotes, lists separated by commas. The error states the form that the key requires.
func ParseValue(name, text string) (Value, error) {
	key, known := keyIndex[name]
	if name == KeyBase {
		key, known = &baseKey, true
	}
	if !known {
		return normaliseValue(name, "")
	}
	value := Value(text)
	switch {
	case key.Type == nameType.name, key.Type == durationType.name, key.Type == bytesType.name,
		key.Type == rateType.name && strings.Contains(text, "/"):
		value = encodeValue(text)
	case strings.HasPrefix(key.Type, "list"):
		value = encodeValue(strings.FieldsFunc(text, func(r rune) bool { return r == ',' }))
	}
	return normaliseValue(name, value)
}

// suggestion returns a hint at the registered key with the most similar spelling, or "" if none is
// similar.
func suggestion(name string) string {
	names := make([]string, len(keys))
	for i := range keys {
		names[i] = keys[i].Name
	}
	nearest := spelling.Nearest(name, names)
	if nearest == "" {
		return ""
	}
	return fmt.Sprintf("; did you mean %s?", nearest)
}
