package experiment

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/simulation"
)

// readClock is what a clock of the process or of the calling thread says
// has been used so far.
func readClock(clock int32) time.Duration {
	var read unix.Timespec
	if err := unix.ClockGettime(clock, &read); err != nil {
		return 0
	}
	return time.Duration(read.Nano())
}

// processTime is the processor time of all threads so far.
func processTime() time.Duration { return readClock(unix.CLOCK_PROCESS_CPUTIME_ID) }

// capacityMeter sums what the processes spend by what for.
type capacityMeter struct {
	measuring   bool
	roles       map[*simulation.Node]Role
	spent       map[*simulation.Node]map[string]time.Duration
	requestPath time.Duration
}

func newCapacityMeter() *capacityMeter {
	return &capacityMeter{roles: map[*simulation.Node]Role{}, spent: map[*simulation.Node]map[string]time.Duration{}}
}

// begin notes the roles and starts to measure.
func (m *capacityMeter) begin(world *simulation.World) {
	m.measuring = true
	for _, member := range world.Nodes() {
		m.spent[member] = map[string]time.Duration{}
		m.roles[member] = roleOf(member)
	}
}

func (m *capacityMeter) end() { m.measuring = false }

// role returns the node's role as noted when measuring began.
func (m *capacityMeter) role(member *simulation.Node) Role { return m.roles[member] }

// roleOf inspects a node's core.
func roleOf(member *simulation.Node) Role {
	core, ok := member.Core().(*node.Core)
	if !ok || !core.Controller().Holding() {
		return RoleMember
	}
	for _, claim := range core.Claims() {
		if claim.Zone == node.ApportionerZone && claim.Node == member.ID {
			return RoleApportioner
		}
	}
	return RoleController
}

// Now implements simulation.Meter with the processor time of the thread.
func (m *capacityMeter) Now() time.Duration {
	if !m.measuring {
		return 0
	}
	return readClock(unix.CLOCK_THREAD_CPUTIME_ID)
}

// Stepped implements simulation.Meter.
func (m *capacityMeter) Stepped(on *simulation.Node, event node.Event, took time.Duration) {
	if !m.measuring {
		return
	}
	switch e := event.(type) {
	case node.RoutingInput:
		m.requestPath += took
	case node.Tick:
		m.spent[on]["tick"] += took
	case node.MessageReceived:
		m.spent[on][fmt.Sprintf("%T", e.Message)] += took
	case node.EngineAnswered:
		m.spent[on]["engine answers"] += took
	case node.MachinesListed:
		m.spent[on]["machine list"] += took
	default:
		m.spent[on]["key-value and other"] += took
	}
}

// Coded implements simulation.Meter.
func (m *capacityMeter) Coded(on *simulation.Node, took time.Duration) {
	if m.measuring {
		m.spent[on]["codec"] += took
	}
}

var _ simulation.Meter = (*capacityMeter)(nil)
