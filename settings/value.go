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

// Value is the canonical JSON text of a key's value. Values of known keys are normalised by the
// type of the key. Values of unknown keys, which newer versions write, only have their JSON
// canonicalised.
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

// String returns the value for display: strings without their quotes.
func (v Value) String() string {
	if text, err := parseString(v); err == nil {
		return text
	}
	return string(v)
}

// canonicalJSON re-encodes data so that equal values have equal text: no spaces, object keys
// sorted, numbers as written.
func canonicalJSON(data []byte) (Value, error) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	var decoded any
	if err := decoder.Decode(&decoded); err != nil {
		return "", err
	}
	return encodeValue(decoded), nil
}

// encodeValue returns the canonical JSON text of a value, or "null" if the value has no JSON form.
func encodeValue(plain any) Value {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(plain); err != nil {
		return "null"
	}
	return Value(strings.TrimSuffix(buffer.String(), "\n"))
}

// valueType describes how values of a Go type are parsed and formatted.
type valueType[T any] struct {
	name    string
	example string
	parse   func(Value) (T, error)
	format  func(T) Value
	// schema is the JSON Schema of accepted values.
	schema map[string]any
}

// formatError returns the error for a value that does not have the required form.
func formatError(form, example string, got Value) error {
	return fmt.Errorf("wants %s such as %s, got %s", form, example, got)
}

var integerType = valueType[int]{
	name: "integer", example: "3",
	parse: func(v Value) (int, error) {
		n, err := strconv.Atoi(string(v))
		if err != nil {
			return 0, formatError("an integer", "3", v)
		}
		return n, nil
	},
	format: func(n int) Value { return Value(strconv.Itoa(n)) },
	schema: map[string]any{"type": "integer"},
}

var numberType = valueType[float64]{
	name: "number", example: "0.5",
	parse: func(v Value) (float64, error) {
		f, err := strconv.ParseFloat(string(v), 64)
		if err != nil {
			return 0, formatError("a number", "0.5", v)
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
			return false, formatError("true or false", "true", v)
		}
	},
	format: func(b bool) Value { return Value(strconv.FormatBool(b)) },
	schema: map[string]any{"type": "boolean"},
}

var nameType = valueType[string]{
	name: "name", example: `"default"`,
	parse: func(v Value) (string, error) {
		text, err := parseString(v)
		if err != nil || !namePattern.MatchString(text) {
			return "", formatError("a name of letters, digits, '.', '_', ':' and '-'", `"default"`, v)
		}
		return text, nil
	},
	format: func(text string) Value { return encodeValue(text) },
	schema: map[string]any{"type": "string", "pattern": namePattern.String()},
}

var durationType = valueType[time.Duration]{
	name: "duration", example: `"10m"`,
	parse: func(v Value) (time.Duration, error) {
		text, err := parseString(v)
		if err != nil {
			return 0, formatError("a duration", `"10m"`, v)
		}
		d, err := time.ParseDuration(text)
		if err != nil {
			return 0, formatError("a duration", `"10m"`, v)
		}
		return d, nil
	},
	format: func(d time.Duration) Value { return encodeValue(FormatDuration(d)) },
	schema: map[string]any{"type": "string", "pattern": `^([0-9]+(\.[0-9]+)?(ns|us|ms|s|m|h))+$|^0$`},
}

// FormatDuration formats a duration without trailing zero units, such as "10m".
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

// byteUnits lists the units of byte sizes, largest first.
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

// FormatBytes formats a size in the largest unit that divides it, such as "16GiB".
func FormatBytes(n int64) string {
	for _, unit := range byteUnits {
		if n != 0 && n%unit.bytes == 0 {
			return strconv.FormatInt(n/unit.bytes, 10) + unit.suffix
		}
	}
	return "0B"
}

func parseBytes(v Value) (int64, error) {
	text, err := parseString(v)
	if err != nil {
		return 0, bytesFormatError(v)
	}
	for _, unit := range byteUnits {
		number, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		f, err := strconv.ParseFloat(number, 64)
		size := f * float64(unit.bytes)
		if err != nil || !(size >= 0 && size < 1<<62) {
			return 0, bytesFormatError(v)
		}
		return int64(size), nil
	}
	return 0, bytesFormatError(v)
}

func bytesFormatError(v Value) error {
	return formatError("a size in B, KiB, MiB, GiB or TiB", `"16GiB"`, v)
}

// rateUnits maps each time unit of a rate to its length in seconds.
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

// parseRate parses a rate per second from a number, or from a string such as "90/m".
func parseRate(v Value) (float64, error) {
	number, unit := string(v), "s"
	if text, err := parseString(v); err == nil {
		var found bool
		if number, unit, found = strings.Cut(text, "/"); !found {
			return 0, rateFormatError(v)
		}
	}
	seconds, known := rateUnits[unit]
	rate, err := strconv.ParseFloat(number, 64)
	if err != nil || !known {
		return 0, rateFormatError(v)
	}
	return rate / seconds, nil
}

func rateFormatError(v Value) error {
	return formatError("a rate: a number a second, or a text", `"90/m"`, v)
}

func formatNumber(f float64) Value { return Value(strconv.FormatFloat(f, 'f', -1, 64)) }

// namesType returns the type of a set of names, which is stored as a sorted list without
// duplicates.
func namesType[T ~string]() valueType[[]T] {
	return valueType[[]T]{
		name: "list of names", example: `["a","b"]`,
		parse: func(v Value) ([]T, error) {
			var names []T
			err := json.Unmarshal([]byte(v), &names)
			isInvalid := func(name T) bool { return !namePattern.MatchString(string(name)) }
			if err != nil || names == nil || slices.ContainsFunc(names, isInvalid) {
				return nil, formatError("a list of names", `["a","b"]`, v)
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

// parseString decodes a JSON string. Any other JSON value is an error.
func parseString(v Value) (string, error) {
	if len(v) >= 2 && v[0] == '"' && !strings.Contains(string(v), `\`) {
		return string(v[1 : len(v)-1]), nil
	}
	if len(v) == 0 || v[0] != '"' {
		return "", fmt.Errorf("not a JSON string")
	}
	var text string
	err := json.Unmarshal([]byte(v), &text)
	return text, err
}
