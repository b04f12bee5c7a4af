package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Value is the canonical JSON text of one key's value. Values of known keys are
// normalised by the key's type; values of keys that a newer version wrote are
// kept as they are.
type Value string

// MarshalJSON implements json.Marshaler.
func (v Value) MarshalJSON() ([]byte, error) {
	if v == "" {
		return []byte("null"), nil
	}
	return []byte(v), nil
}

// UnmarshalJSON implements json.Unmarshaler.
func (v *Value) UnmarshalJSON(data []byte) error {
	canonical, err := canonicalJSON(data)
	*v = canonical
	return err
}

// String returns the value for people: strings without their quotes.
func (v Value) String() string {
	if text, err := parseText(v); err == nil {
		return text
	}
	return string(v)
}

// canonicalJSON decodes and encodes data so that equal values have equal text:
// no spaces, object keys sorted, numbers as written.
func canonicalJSON(data []byte) (Value, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var decoded any
	if err := decoder.Decode(&decoded); err != nil {
		return "", err
	}
	return encodeValue(decoded), nil
}

// encodeValue returns the canonical JSON text of a plain value.
func encodeValue(plain any) Value {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(plain); err != nil {
		return "null"
	}
	return Value(strings.TrimSuffix(buffer.String(), "\n"))
}

// valueType describes how one Go type is written in the tree.
type valueType[T any] struct {
	name    string
	example string
	parse   func(Value) (T, error)
	format  func(T) Value
	// schema is the JSON Schema of accepted values.
	schema map[string]any
}

// wants returns the error for a value of the wrong form.
func wants(what, example string, got Value) error {
	return fmt.Errorf("wants %s such as %s, got %s", what, example, got)
}

var integerType = valueType[int]{
	name: "integer", example: "3",
	parse: func(v Value) (int, error) {
		n, err := strconv.Atoi(string(v))
		if err != nil {
			return 0, wants("an integer", "3", v)
		}
		return n, nil
	},
	format: func(n int) Value { return Value(strconv.Itoa(n)) },
	schema: map[string]any{"type": "integer"},
}

var fractionType = valueType[float64]{
	name: "number", example: "0.5",
	parse: func(v Value) (float64, error) {
		f, err := strconv.ParseFloat(string(v), 64)
		if err != nil {
			return 0, wants("a number", "0.5", v)
		}
		return f, nil
	},
	format: formatNumber,
	schema: map[string]any{"type": "number"},
}

var booleanType = valueType[bool]{
	name: "boolean", example: "true",
	parse: func(v Value) (bool, error) {
		switch v {
		case "true":
			return true, nil
		case "false":
			return false, nil
		default:
			return false, wants("true or false", "true", v)
		}
	},
	format: func(b bool) Value { return Value(strconv.FormatBool(b)) },
	schema: map[string]any{"type": "boolean"},
}

var nameType = valueType[string]{
	name: "name", example: `"default"`,
	parse: func(v Value) (string, error) {
		text, err := parseText(v)
		if err != nil || !namePattern.MatchString(text) {
			return "", wants("a name of letters, digits, '.', '_', ':' and '-'", `"default"`, v)
		}
		return text, nil
	},
	format: func(text string) Value { return encodeValue(text) },
	schema: map[string]any{"type": "string", "pattern": namePattern.String()},
}

var durationType = valueType[time.Duration]{
	name: "duration", example: `"10m"`,
	parse: func(v Value) (time.Duration, error) {
		text, err := parseText(v)
		if err != nil {
			return 0, wants("a duration", `"10m"`, v)
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			return 0, wants("a duration", `"10m"`, v)
		}
		return d, nil
	},
	format: func(d time.Duration) Value { return encodeValue(FormatDuration(d)) },
	schema: map[string]any{"type": "string", "pattern": `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$|^0$`},
}

// FormatDuration writes a duration without trailing zero units, such as "10m".
func FormatDuration(d time.Duration) string {
	text := d.String()
	if strings.HasSuffix(text, "m0s") {
		text = strings.TrimSuffix(text, "0s")
	}
	if strings.HasSuffix(text, "h0m") {
		text = strings.TrimSuffix(text, "0m")
	}
	return text
}

// byteUnits lists the units of sizes, largest first.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{{"TiB", 1 << 40}, {"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

var bytesType = valueType[int64]{
	name: "bytes", example: `"16GiB"`,
	parse:  parseBytes,
	format: func(n int64) Value { return encodeValue(FormatBytes(n)) },
	schema: map[string]any{"type": "string", "pattern": `^[0-9]+(\.[0-9]+)?(TiB|GiB|MiB|KiB|B)$`},
}

// FormatBytes writes a size in the largest unit that divides it, such as
// "16GiB".
func FormatBytes(n int64) string {
	for _, unit := range byteUnits {
		if n != 0 && n%unit.bytes == 0 {
			return strconv.FormatInt(n/unit.bytes, 10) + unit.suffix
		}
	}
	return "0B"
}

func parseBytes(v Value) (int64, error) {
	text, err := parseText(v)
	if err != nil {
		return 0, wantsBytes(v)
	}
	for _, unit := range byteUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		f, err := strconv.ParseFloat(number, 64)
		size := f * float64(unit.bytes)
		if err != nil || !(size >= 0 && size < 1<<62) {
			return 0, wantsBytes(v)
		}
		return int64(size), nil
	}
	return 0, wantsBytes(v)
}

func wantsBytes(v Value) error {
	return wants("a size in B, KiB, MiB, GiB or TiB", `"16GiB"`, v)
}

// rateUnits gives the seconds of each unit of a rate.
var rateUnits = map[string]float64{"s": 1, "m": 60, "h": 3600}

var rateType = valueType[float64]{
	name: "rate", example: `"90/m"`,
	parse:  parseRate,
	format: formatNumber,
	schema: map[string]any{"oneOf": []any{
		map[string]any{"type": "number"},
		map[string]any{"type": "string", "pattern": `^[0-9]+(\.[0-9]+)?/(s|m|h)$`},
	}},
}

// parseRate reads a number a second, or a text such as "90/m".
func parseRate(v Value) (float64, error) {
	number, unit := string(v), "s"
	if text, err := parseText(v); err == nil {
		var found bool
		if number, unit, found = strings.Cut(text, "/"); !found {
			return 0, wantsRate(v)
		}
	}
	seconds, known := rateUnits[unit]
	rate, err := strconv.ParseFloat(number, 64)
	if err != nil || !known {
		return 0, wantsRate(v)
	}
	return rate / seconds, nil
}

func wantsRate(v Value) error {
	return wants("a rate: a number a second, or a text", `"90/m"`, v)
}

func formatNumber(f float64) Value { return Value(strconv.FormatFloat(f, 'f', -1, 64)) }

// namesType writes a set of names as a sorted list.
func namesType[T ~string]() valueType[[]T] {
	return valueType[[]T]{
		name: "list of names", example: `["a","b"]`,
		parse: func(v Value) ([]T, error) {
			var names []T
			err := json.Unmarshal([]byte(v), &names)
			misnamed := func(name T) bool { return !namePattern.MatchString(string(name)) }
			if err != nil || names == nil || slices.ContainsFunc(names, misnamed) {
				return nil, wants("a list of names", `["a","b"]`, v)
			}
			slices.Sort(names)
			return slices.Compact(names), nil
		},
		format: func(names []T) Value {
			if names == nil {
				names = []T{}
			}
			return encodeValue(names)
		},
		schema: map[string]any{"type": "array", "items": nameType.schema},
	}
}

// parseText decodes a JSON string; other JSON is an error.
func parseText(v Value) (string, error) {
	if len(v) >= 2 && v[0] == '"' && !strings.Contains(string(v), `\`) {
		return string(v[1 : len(v)-1]), nil
	}
	if len(v) == 0 || v[0] != '"' {
		return "", fmt.Errorf("not a text")
	}
	var text string
	err := json.Unmarshal([]byte(v), &text)
	return text, err
}
