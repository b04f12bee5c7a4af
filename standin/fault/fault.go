package fault

import (
	"encoding/json"
	"time"
)

// Kind is the type of a fault as written in an Order.
type Kind string

// The kinds of faults.
const (
	// KindClear ends all active faults.
	KindClear Kind = "clear"
	// KindDown closes the connection of each request without executing it.
	KindDown Kind = "down"
	// KindSlow delays the execution of each request by Delay. The weight store
	// reduces its transfer rate to Speed instead.
	KindSlow Kind = "slow"
	// KindLoseAnswer executes the request and closes the connection without a
	// response.
	KindLoseAnswer Kind = "lose-answer"
	// KindRefuse answers 429 without executing the request.
	KindRefuse Kind = "refuse"
	// KindDieMidLoad crashes the engine during its next model load.
	KindDieMidLoad Kind = "die-mid-load"
	// KindDie crashes the engine at once; it restarts after For.
	KindDie Kind = "die"
	// KindCutStream closes the connection of a streamed response after Tokens
	// tokens.
	KindCutStream Kind = "cut-stream"
	// KindReclaim removes a machine after the notice period Notice.
	KindReclaim Kind = "reclaim"
	// KindStale freezes the contents of the machine list or of an engine's load
	// report.
	KindStale Kind = "stale"
)

// Duration is a time.Duration that is encoded as text such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Order is the body of POST /faults and describes one fault.
type Order struct {
	Kind Kind `json:"kind"`
	// For is the duration of the fault. With zero it lasts until it is cleared
	// or has been triggered Count times.
	For Duration `json:"for,omitempty"`
	// Count is the number of requests that the fault affects; zero means
	// unlimited.
	Count int `json:"count,omitempty"`
	// Probability is the share of requests that the fault affects, from 0 to 1;
	// zero means all of them.
	Probability float64 `json:"probability,omitempty"`
	// Delay is added to each request by KindSlow.
	Delay Duration `json:"delay,omitempty"`
	// Speed is the share of the full transfer rate, from 0 to 1, that KindSlow
	// leaves the weight store.
	Speed float64 `json:"speed,omitempty"`
	// Tokens is the number of tokens that KindCutStream lets through.
	Tokens int `json:"tokens,omitempty"`
	// Machine is the ID of the machine that KindReclaim removes, and Notice the
	// time until its removal.
	Machine string   `json:"machine,omitempty"`
	Notice  Duration `json:"notice,omitempty"`
}

// Encode returns the order as JSON.
func (o Order) Encode() []byte {
	encoded, _ := json.Marshal(o)
	return encoded
}
