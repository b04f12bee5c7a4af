package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Engine pools of the demo.
const (
	assistantPool = "assistant"
	bookingPool   = "booking"
)

// Secrets of the demo's tokens. They are fixed because the demo listens on
// loopback only.
const (
	CallerToken = "demo-caller-token"
	AdminToken  = "demo-admin-token"
)

// Numbers of models in the demo's settings, which describe a booking service for
// dental clinics.
const (
	assistantModelCount = 42
	bookingModelCount   = 8
	adapterCount        = 60
)

// modelSet holds the names of the demo's models.
type modelSet struct {
	// Requests for Assistants and Adapters are repeatable, for Bookings not.
	Assistants, Adapters, Bookings []string
}

// all returns the names of assistants, bookings and adapters in this order.
func (m modelSet) all() []string {
	names := append([]string(nil), m.Assistants...)
	names = append(names, m.Bookings...)
	return append(names, m.Adapters...)
}

// topics are the name prefixes of the assistant models.
var topics = []string{"recall-letters", "treatment-notes", "checkup-questions", "school-visits", "after-hours"}

func newModelSet() modelSet {
	var set modelSet
	for i := range assistantModelCount {
		set.Assistants = append(set.Assistants, fmt.Sprintf("%s-%02d", topics[i%len(topics)], i/len(topics)+1))
	}
	for i := range bookingModelCount {
		set.Bookings = append(set.Bookings, fmt.Sprintf("booking-%02d", i+1))
	}
	for i := range adapterCount {
		set.Adapters = append(set.Adapters, fmt.Sprintf("clinic-%02d", i+1))
	}
	return set
}

// settingsYAML returns the demo's settings as YAML.
func settingsYAML(set modelSet) string {
	var text strings.Builder
	text.WriteString(settingsHeader())
	for _, name := range set.Assistants {
		fmt.Fprintf(&text, "          %s: {kind: model}\n", name)
	}
	for i, name := range set.Adapters {
		base := set.Assistants[i%len(topics)]
		fmt.Fprintf(&text, "          %s: {kind: adapter, base: %s, memory: 256MiB}\n", name, base)
	}
	text.WriteString(bookingServiceHeader)
	for _, name := range set.Bookings {
		fmt.Fprintf(&text, "          %s: {kind: model}\n", name)
	}
	return text.String()
}

func settingsHeader() string {
	return fmt.Sprintf(`# Settings of the demo: a booking service for dental clinics.
engine_pool: %s
memory: 4GiB
max_replicas: 3
keep_alive: 20s
deadline: 30s
queue_time: 25s
queue_length: 512
retry_attempts: 4
repeatable: true
tokens:
- {name: demo-administrator, sha256: %s, role: administer}
children:
  dental:
    kind: team
    tokens:
    - {name: demo-caller, sha256: %s, role: call}
    children:
      assistant:
        kind: service
        cold_start_weight: 0.8
        children:
`, assistantPool, hexSHA256(AdminToken), hexSHA256(CallerToken))
}

const bookingServiceHeader = `      booking:
        kind: service
        engine_pool: ` + bookingPool + `
        repeatable: false
        priority: 10
        keep_alive: 60s
        children:
`

func hexSHA256(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
