package fault

import (
	"encoding/json"
	"time"
)

// Kind names a fault.
type Kind string

// The kinds of faults.
const (
	// KindClear ends every fault.
	KindClear Kind = "clear"
	// KindDown closes each connection without an answer and without an effect.
	KindDown Kind = "down"
	// KindSlow delays each request by Delay before its effect; the weight store
	// slows its loads to Speed instead.
	KindSlow Kind = "slow"
	// KindLoseAnswer closes the connection after the effect.
	KindLoseAnswer Kind = "lose-answer"
	// KindRefuse answers 429 without an effect.
	KindRefuse Kind = "refuse"
	// KindDieMidLoad ends the engine's run in the middle of its next load.
	KindDieMidLoad Kind = "die-mid-load"
	// KindDie ends the engine's run at once; it is back after For.
	KindDie Kind = "die"
	// KindCutStream drops the connection of a streamed answer after Tokens.
	KindCutStream Kind = "cut-stream"
	// KindReclaim takes a machine back after Notice.
	KindReclaim Kind = "reclaim"
	// KindStale freezes what the machine list or an engine's report shows.
	KindStale Kind = "stale"
)

// Duration is a time.Duration in text form such as "250ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Order is the body of POST /faults.
type Order struct {
	Kind Kind `json:"kind"`
	// For is how long the fault lasts; zero means until cleared, unless Count
	// bounds it.
	For Duration `json:"for,omitempty"`
	// Count is how many times the fault strikes; zero means without bound.
	Count int `json:"count,omitempty"`
	// Probability with which it strikes; zero means always.
	Probability float64 `json:"probability,omitempty"`
	// Delay of KindSlow.
	Delay Duration `json:"delay,omitempty"`
	// Speed of KindSlow for the weight store, 0 to 1 of full speed.
	Speed float64 `json:"speed,omitempty"`
	// Tokens after which KindCutStream cuts.
	Tokens int `json:"tokens,omitempty"`
	// Machine and Notice of KindReclaim.
	Machine string   `json:"machine,omitempty"`
	Notice  Duration `json:"notice,omitempty"`
}

// Encode returns the JSON form.
func (o Order) Encode() []byte {
	encoded, _ := json.Marshal(o)
	return encoded
}
