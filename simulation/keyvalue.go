package simulation

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/node"
	standin "github.com/valveslip/valveslip/standin/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

// callTimeout is how long a process waits for an answer of the platform or of an
// engine.
const callTimeout = 2 * time.Second

// errWatchBroken ends a watch. It is also the error of reads that fail.
var errWatchBroken = errors.New("watch broken")

// KeyValueCounts counts the calls, watches and bytes of the key-value service.
type KeyValueCounts struct {
	Reads, Writes, Grants, KeepAlives, Watches, WatchBatches, Refused, Lost uint64
	// BytesIn and BytesOut are the bytes of keys and values.
	BytesIn, BytesOut uint64
}

// KeyValue models the key-value service and its network connections.
type KeyValue struct {
	kernel         *Kernel
	network        *Network
	random         *rand.Rand
	place          Place
	state          *standin.State
	processingTime time.Duration
	watches        []*watch
	// Down makes the service refuse every call. SlowFactor multiplies its
	// processing time. LostAnswers is the probability that an answer is lost
	// after the call took effect.
	Down        bool
	SlowFactor  float64
	LostAnswers float64
	Counts      KeyValueCounts
}

// watch is one node's stream of changes.
type watch struct {
	owner *Node
	// incarnation is that of the process that opened the watch.
	incarnation int
	id          uint64
	prefix      string
	// nextRevision is the first revision that was not sent.
	nextRevision keyvalue.Revision
	// lastArrival is when the last batch arrives. Later batches arrive no earlier, so
	// that jitter does not reorder them.
	lastArrival time.Time
	ended       bool
}

// newKeyValue returns a healthy, empty service.
func newKeyValue(kernel *Kernel, network *Network, place Place, deployment Deployment) *KeyValue {
	limit := standin.Config{RequestsPerSecond: deployment.KeyValueRate, Burst: int(deployment.KeyValueRate)}
	service := &KeyValue{
		kernel: kernel, network: network, random: kernel.Stream("key-value"), place: place,
		state: standin.NewState(limit), processingTime: deployment.KeyValueDelay, SlowFactor: 1,
	}
	const expiryInterval = 250 * time.Millisecond
	kernel.Every(expiryInterval, expiryInterval, LabelLeaseEnd, func() bool {
		service.expireLeases()
		return true
	})
	return service
}

// State returns the service's content.
func (s *KeyValue) State() *standin.State { return s.state }

// SetDown begins or ends an outage. The beginning of an outage breaks all watches.
func (s *KeyValue) SetDown(down bool) {
	s.Down = down
	if !down {
		return
	}
	for _, open := range s.watches {
		s.breakWatch(open, 0)
	}
	s.watches = nil
}

// Call executes a node's call and delivers the answer to the node, with network
// delays and faults.
func (s *KeyValue) Call(from *Node, call node.KeyValueCall) {
	incarnation := from.incarnation
	answer := func(after time.Duration, event node.Event) {
		s.kernel.After(after, LabelKeyValueAnswer, func() { from.deliverTo(incarnation, event) })
	}
	fail := func(after time.Duration, v verdict.Verdict) {
		err := verdict.New(v, verdict.CodeUnavailable, "key-value service unavailable")
		if call.Operation == node.KeyValueWatch {
			answer(after, node.WatchEnded{ID: call.ID, Err: err})
			return
		}
		answer(after, node.KeyValueAnswered{ID: call.ID, Err: err})
	}
	if !s.network.Reachable(from.Place, s.place) {
		fail(callTimeout, verdict.MayHaveRun)
		return
	}
	networkDelay := s.network.Delay(from.Place, s.place)
	s.kernel.After(networkDelay, LabelKeyValueCall, func() {
		if s.Down || !s.state.Allow(s.kernel.Now()) {
			s.Counts.Refused++
			fail(networkDelay, verdict.NotRun)
			return
		}
		if call.Operation == node.KeyValueWatch {
			s.openWatch(from, incarnation, call)
			return
		}
		event := s.apply(call)
		lost := s.random.Float64() < s.LostAnswers || !s.network.Reachable(s.place, from.Place)
		responseTime := time.Duration(float64(s.processingTime)*s.SlowFactor) + networkDelay
		if lost || responseTime > callTimeout {
			s.Counts.Lost++
			fail(callTimeout, verdict.MayHaveRun)
			return
		}
		answer(responseTime, event)
	})
}

// apply executes a call other than a watch.
func (s *KeyValue) apply(call node.KeyValueCall) node.KeyValueAnswered {
	now := s.kernel.Now()
	answered := node.KeyValueAnswered{ID: call.ID}
	var err error
	switch call.Operation {
	case node.KeyValueRange:
		s.Counts.Reads++
		answered.Pairs, answered.Revision = s.state.Range(now, call.Prefix)
		for _, pair := range answered.Pairs {
			s.Counts.BytesOut += uint64(len(pair.Key) + len(pair.Value))
		}
	case node.KeyValueTxn:
		s.Counts.Writes++
		for _, operation := range call.Txn.Operations {
			s.Counts.BytesIn += uint64(len(operation.Key) + len(operation.Value))
		}
		answered.Txn, err = s.state.Txn(now, call.Txn)
		answered.Revision = answered.Txn.Revision
	case node.KeyValueGrant:
		s.Counts.Grants++
		answered.Lease, answered.TTL = s.state.Grant(now, call.TTL), call.TTL
	case node.KeyValueKeepAlive:
		s.Counts.KeepAlives++
		answered.Lease = call.Lease
		answered.TTL, err = s.state.KeepAlive(now, call.Lease)
	case node.KeyValueRevoke:
		s.Counts.Writes++
		err = s.state.Revoke(now, call.Lease)
	}
	if errors.Is(err, keyvalue.ErrLeaseNotFound) {
		err = keyvalue.ErrLeaseNotFound
	}
	if err != nil {
		answered.Err = verdict.Wrap(err, verdict.NotRun, verdict.CodeConflict, "refused")
	}
	s.publish()
	return answered
}

// expireLeases ends expired leases and publishes the changes.
func (s *KeyValue) expireLeases() {
	before := s.state.Revision()
	s.state.Expire(s.kernel.Now())
	if s.state.Revision() != before {
		s.publish()
	}
}

// openWatch opens a watch and ends an earlier one of the same node.
func (s *KeyValue) openWatch(from *Node, incarnation int, call node.KeyValueCall) {
	s.Counts.Watches++
	for _, older := range s.watches {
		if older.owner == from {
			older.ended = true
		}
	}
	s.watches = append(s.watches, &watch{owner: from, incarnation: incarnation, id: call.ID, prefix: call.Prefix, nextRevision: call.StartRevision})
	s.publish()
}

// publish sends the new changes to every open watch.
func (s *KeyValue) publish() {
	open := s.watches[:0]
	for _, current := range s.watches {
		if current.ended || current.incarnation != current.owner.incarnation || !current.owner.alive {
			continue
		}
		s.sendChanges(current)
		if !current.ended {
			open = append(open, current)
		}
	}
	s.watches = open
}

// sendChanges sends the new changes of one watch in order.
func (s *KeyValue) sendChanges(open *watch) {
	if open.nextRevision > s.state.Revision() {
		return
	}
	if !s.network.Reachable(s.place, open.owner.Place) {
		s.breakWatch(open, callTimeout)
		return
	}
	batch := s.state.EventsSince(s.kernel.Now(), open.prefix, open.nextRevision)
	open.nextRevision = batch.Revision + 1
	if len(batch.Events) == 0 && !batch.Compacted {
		return
	}
	s.Counts.WatchBatches++
	for _, event := range batch.Events {
		s.Counts.BytesOut += uint64(len(event.KeyValue.Key) + len(event.KeyValue.Value))
	}
	arrives := s.kernel.Now().Add(s.network.Delay(s.place, open.owner.Place))
	if arrives.Before(open.lastArrival) {
		arrives = open.lastArrival
	}
	open.lastArrival = arrives
	s.kernel.At(arrives, LabelWatch, func() {
		open.owner.deliverTo(open.incarnation, node.WatchDelivered{ID: open.id, Batch: batch})
	})
	open.ended = batch.Compacted
}

// breakWatch ends a watch and notifies its node after a delay.
func (s *KeyValue) breakWatch(open *watch, after time.Duration) {
	open.ended = true
	s.kernel.After(after, LabelWatch, func() {
		open.owner.deliverTo(open.incarnation, node.WatchEnded{ID: open.id, Err: errWatchBroken})
	})
}
