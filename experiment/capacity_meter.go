package experiment

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"

	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/simulation"
)

// readClock returns the time of a processor clock of the process or of the calling thread, zero on
// error.
func readClock(clock int32) time.Duration {
	var clockTime unix.Timespec
	if err := unix.ClockGettime(clock, &clockTime); err != nil {
		return 0
	}
	return time.Duration(clockTime.Nano())
}

// processCPUTime returns the processor time that all threads have used.
func processCPUTime() time.Duration { return readClock(unix.CLOCK_PROCESS_CPUTIME_ID) }

// capacityMeter sums the processor time of each node by type of work.
type capacityMeter struct {
	measuring       bool
	roles           map[*simulation.Node]Role
	cpuTimes        map[*simulation.Node]map[string]time.Duration
	requestPathTime time.Duration
}

func newCapacityMeter() *capacityMeter {
	return &capacityMeter{roles: map[*simulation.Node]Role{}, cpuTimes: map[*simulation.Node]map[string]time.Duration{}}
}

// start records the roles and starts measuring.
func (m *capacityMeter) start(world *simulation.World) {
	m.measuring = true
	for _, member := range world.Nodes() {
		m.cpuTimes[member] = map[string]time.Duration{}
		m.roles[member] = roleOf(member)
	}
}

// stop ends the measurement.
func (m *capacityMeter) stop() { m.measuring = false }

// role returns the role that the node had when the measurement started.
func (m *capacityMeter) role(member *simulation.Node) Role { return m.roles[member] }

// roleOf returns the current role of a node.
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

// Now implements simulation.Meter. It returns the processor time of the calling thread.
func (m *capacityMeter) Now() time.Duration {
	if !m.measuring {
		return 0
	}
	return readClock(unix.CLOCK_THREAD_CPUTIME_ID)
}

// RecordStep implements simulation.Meter. It adds the processor time of an event to the type of work that the event belongs to.
func (m *capacityMeter) RecordStep(member *simulation.Node, event node.Event, cpuTime time.Duration) {
	if !m.measuring {
		return
	}
	switch e := event.(type) {
	case node.RoutingInput:
		m.requestPathTime += cpuTime
	case node.Tick:
		m.cpuTimes[member]["tick"] += cpuTime
	case node.MessageReceived:
		m.cpuTimes[member][fmt.Sprintf("%T", e.Message)] += cpuTime
	case node.EngineAnswered:
		m.cpuTimes[member]["engine answers"] += cpuTime
	case node.MachinesListed:
		m.cpuTimes[member]["machine list"] += cpuTime
	default:
		m.cpuTimes[member]["key-value and other"] += cpuTime
	}
}

// RecordCodec implements simulation.Meter. It adds the processor time of encoding or decoding.
func (m *capacityMeter) RecordCodec(member *simulation.Node, cpuTime time.Duration) {
	if m.measuring {
		m.cpuTimes[member]["codec"] += cpuTime
	}
}

var _ simulation.Meter = (*capacityMeter)(nil)
