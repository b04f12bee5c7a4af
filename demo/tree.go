package demo

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
)

// Pools of the demo's engines.
const (
	assistantPool = "assistant"
	bookingPool   = "booking"
)

// Names of the demo's tokens. Their secrets are fixed: the demo listens on
// loopback only.
const (
	CallerToken = "demo-caller-token"
	AdminToken  = "demo-admin-token"
)

// Sizes of the demo's tree, those of a booking service for dental clinics.
const (
	assistantModels = 42
	bookingModels   = 8
	adapters        = 60
)

// modelSet names what the demo's tree serves.
type modelSet struct {
	// Assistants and Adapters are repeatable, Bookings are not.
	Assistants, Adapters, Bookings []string
}

// all returns every name, assistants first.
func (m modelSet) all() []string {
	names := append([]string(nil), m.Assistants...)
	names = append(names, m.Bookings...)
	return append(names, m.Adapters...)
}

// topics name the assistants' tasks.
var topics = []string{"recall-letters", "treatment-notes", "checkup-questions", "school-visits", "after-hours"}

func newModelSet() modelSet {
	var set modelSet
	for i := range assistantModels {
		set.Assistants = append(set.Assistants, fmt.Sprintf("%s-%02d", topics[i%len(topics)], i/len(topics)+1))
	}
	for i := range bookingModels {
		set.Bookings = append(set.Bookings, fmt.Sprintf("booking-%02d", i+1))
	}
	for i := range adapters {
		set.Adapters = append(set.Adapters, fmt.Sprintf("clinic-%02d", i+1))
	}
	return set
}

// tree returns the demo's settings as YAML.
func tree(set modelSet) string {
	var text strings.Builder
	text.WriteString(treeHead())
	for _, name := range set.Assistants {
		fmt.Fprintf(&text, "          %s: {kind: model}\n", name)
	}
	for i, name := range set.Adapters {
		base := set.Assistants[i%len(topics)]
		fmt.Fprintf(&text, "          %s: {kind: adapter, base: %s, memory: 256MiB}\n", name, base)
	}
	text.WriteString(bookingHead)
	for _, name := range set.Bookings {
		fmt.Fprintf(&text, "          %s: {kind: model}\n", name)
	}
	return text.String()
}

func treeHead() string {
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
`, assistantPool, hash(AdminToken), hash(CallerToken))
}

const bookingHead = `      booking:
        kind: service
        engine_pool: ` + bookingPool + `
        repeatable: false
        priority: 10
        keep_alive: 60s
        children:
`

func hash(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}
