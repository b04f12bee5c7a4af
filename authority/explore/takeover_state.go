package explore

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/valveslip/valveslip/authority"
	"github.com/valveslip/valveslip/cluster"
)

// Durations in the explored deployment. Every timer of a controller expires between two of
// its ticks. Leases and the machine list's lag expire only in a lapse step.
const (
	tickInterval  = 10 * time.Millisecond
	timerDuration = time.Millisecond
	leaseDuration = time.Hour
	lapseDuration = 2 * leaseDuration
	machineLag    = leaseDuration
	takeoverZone  = cluster.ZoneID("z")
	replicaBytes  = int64(1)
)

var startTime = time.Date(2030, time.January, 1, 0, 0, 0, 0, time.UTC)

// engineState is the actual state of one machine.
type engineState struct {
	id    cluster.MachineID
	gone  bool
	epoch uint64
	token cluster.FencingToken
	// tokenEpoch is the run of the engine in which it accepted the token.
	tokenEpoch    uint64
	sequence      uint64
	replicas      []cluster.Replica // sorted by model
	appliedOrders []string          // orders seen in this run
	// sharesSlices is true when other states use the same slices; see ownEngine.
	sharesSlices bool
}

// callKind is the kind of a call to an engine.
type callKind uint8

const (
	callSeal callKind = iota + 1
	callInventory
	callOrder
)

// call is a call of a controller to an engine that was sent and not delivered yet.
type call struct {
	kind       callKind
	controller int
	machine    int
	token      cluster.FencingToken
	order      cluster.Order
	// abandoned is true when the controller no longer waits for the answer. The call may
	// still be delivered.
	abandoned bool
	// description is the result of String.
	description string
}

// answer is a delayed answer of an engine to a controller.
type answer struct {
	controller  int
	machine     int
	event       authority.Event
	description string
}

// keyValueState is the actual state of the key-value service.
type keyValueState struct {
	down     bool
	revision int64
	// holder is the index of a controller, noHolder or restartedHolder.
	holder int
	token  cluster.FencingToken
	sentAt time.Time
	// allotment is the stored record.
	allotment cluster.Allotment
}

// Values of keyValueState.holder that are not a controller's index.
const (
	noHolder        = -1
	restartedHolder = -2
)

// controllerState is one controller and how far it has read the shared records.
type controllerState struct {
	// core is shared with other states until ownCore is called.
	core     *authority.Controller
	ownsCore bool
	// encodedCore is the canonical encoding of core, nil when it is not known.
	encodedCore []byte
	// listVersionRead and allotmentRevisionRead are the versions of the machine list and
	// the allotment that the controller has read.
	listVersionRead       int
	allotmentRevisionRead int64
}

// eventBudget is how often each kind of event may still happen in a run, besides ordinary
// steps.
type eventBudget struct {
	lapses, faults, engineRestarts, nodeRestarts, outages, joins, leaves, unloads int
}

// takeoverState is one state of the deployment.
type takeoverState struct {
	now         time.Time
	engines     []engineState
	controllers []controllerState
	kv          keyValueState
	calls       []call
	answers     []answer
	// listVersion is the version of the machine list, isListed the machines on it.
	listVersion int
	isListed    []bool
	eventsLeft  eventBudget
}

func (s *takeoverState) clone() *takeoverState {
	copied := *s
	copied.engines = slices.Clone(s.engines)
	for i := range copied.engines {
		copied.engines[i].sharesSlices = true
	}
	copied.controllers = slices.Clone(s.controllers)
	for i := range copied.controllers {
		copied.controllers[i].ownsCore = false
	}
	copied.calls = slices.Clone(s.calls)
	copied.answers = slices.Clone(s.answers)
	copied.isListed = slices.Clone(s.isListed)
	return &copied
}

// ownCore returns the controller's core for modification. It copies a core that is shared
// with other states.
func (s *takeoverState) ownCore(i int) *authority.Controller {
	owner := &s.controllers[i]
	if !owner.ownsCore {
		owner.core, owner.ownsCore = owner.core.Clone(), true
	}
	owner.encodedCore = nil
	return owner.core
}

// ownEngine returns the engine for modification. It copies slices that are shared with
// other states.
func (s *takeoverState) ownEngine(i int) *engineState {
	engine := &s.engines[i]
	if engine.sharesSlices {
		engine.replicas, engine.appliedOrders = slices.Clone(engine.replicas), slices.Clone(engine.appliedOrders)
		engine.sharesSlices = false
	}
	return engine
}

// appendKey appends the canonical encoding of the state.
func (s *takeoverState) appendKey(buffer []byte) []byte {
	for i := range s.engines {
		buffer = s.engines[i].appendKey(buffer)
		buffer = appendNumbers(buffer, boolToNumber(s.isListed[i]))
	}
	leased := s.kv.holder != noHolder && s.now.Sub(s.kv.sentAt) < leaseDuration
	buffer = appendNumbers(buffer, boolToNumber(s.kv.down), uint64(s.kv.revision), uint64(s.kv.holder-restartedHolder),
		uint64(s.kv.token), uint64(s.kv.allotment.Revision), boolToNumber(leased))
	for i := range s.controllers {
		buffer = appendNumbers(buffer, uint64(s.controllers[i].listVersionRead), uint64(s.controllers[i].allotmentRevisionRead))
		if s.controllers[i].encodedCore == nil {
			s.controllers[i].encodedCore = s.controllers[i].core.AppendState(nil, s.now.Add(tickInterval))
		}
		buffer = append(buffer, s.controllers[i].encodedCore...)
	}
	buffer = appendNumbers(buffer, uint64(len(s.calls)))
	for i := range s.calls {
		buffer = appendText(buffer, s.calls[i].description)
	}
	buffer = appendNumbers(buffer, uint64(len(s.answers)))
	for i := range s.answers {
		buffer = appendText(buffer, s.answers[i].description)
	}
	buffer = appendNumbers(buffer, uint64(s.listVersion))
	return s.eventsLeft.appendKey(buffer)
}

// appendKey appends the numbers of events that may still happen.
func (b *eventBudget) appendKey(buffer []byte) []byte {
	return appendNumbers(buffer, uint64(b.lapses), uint64(b.faults), uint64(b.engineRestarts), uint64(b.nodeRestarts),
		uint64(b.outages), uint64(b.joins), uint64(b.leaves), uint64(b.unloads))
}

// appendKey appends the engine's canonical encoding.
func (e *engineState) appendKey(buffer []byte) []byte {
	buffer = appendNumbers(buffer, boolToNumber(e.gone), e.epoch, e.tokenEpoch, uint64(e.token), e.sequence, uint64(len(e.replicas)))
	for _, replica := range e.replicas {
		buffer = appendText(buffer, string(replica.Model))
		buffer = appendNumbers(buffer, uint64(replica.State))
	}
	buffer = appendNumbers(buffer, uint64(len(e.appliedOrders)))
	for _, id := range e.appliedOrders {
		buffer = appendText(buffer, id)
	}
	return buffer
}

func appendNumbers(buffer []byte, numbers ...uint64) []byte {
	for _, number := range numbers {
		buffer = binary.AppendUvarint(buffer, number)
	}
	return buffer
}

func appendText(buffer []byte, text string) []byte {
	return append(appendNumbers(buffer, uint64(len(text))), text...)
}

func boolToNumber(value bool) uint64 {
	if value {
		return 1
	}
	return 0
}

// String describes the call; equal calls have equal descriptions.
func (c call) String() string {
	late := ""
	if c.abandoned {
		late = "late "
	}
	switch c.kind {
	case callSeal:
		return fmt.Sprintf("%sseal of m%d by n%d with token %d", late, c.machine, c.controller, c.token)
	case callInventory:
		return fmt.Sprintf("%sinventory of m%d for n%d", late, c.machine, c.controller)
	default:
		return fmt.Sprintf("%s%s of %s on m%d by n%d, order %s", late, c.order.Kind, c.order.Model, c.machine, c.controller, c.order.ID)
	}
}

// addCall adds a call. Calls are kept sorted and unique, so that equal states have equal
// encodings.
func (s *takeoverState) addCall(added call) {
	added.description = added.String()
	position, found := slices.BinarySearchFunc(s.calls, added.description, func(c call, text string) int {
		return cmp.Compare(c.description, text)
	})
	if !found {
		s.calls = slices.Insert(s.calls, position, added)
	}
}

func (s *takeoverState) addAnswer(added answer) {
	position, found := slices.BinarySearchFunc(s.answers, added.description, func(a answer, text string) int {
		return cmp.Compare(a.description, text)
	})
	if !found {
		s.answers = slices.Insert(s.answers, position, added)
	}
}
