package shell

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/passthrough"
	"github.com/valveslip/valveslip/reachability"
)

// maxLoggedMachines bounds the machines that a line on the path names.
const maxLoggedMachines = 8

// machineSource knows the machines of a deployment.
type machineSource interface {
	// knownMachines returns the number of machines.
	knownMachines() int
	// probeTargets returns the machines that can be probed, in no particular order.
	probeTargets() []fleet.ProbeTarget
}

// machinePath observes this node's connections to machines, probes machines while the node suspects
// that it has lost its path to them, and chooses the nodes through which requests are sent meanwhile.
// It implements passthrough.Path and is safe for concurrent use. Its mutex may be taken while that
// of the Node is held, not the other way round.
type machinePath struct {
	node     *Node
	machines machineSource
	peers    *peerSet
	// doubtful is set while the monitor holds failures. Data that arrives while it is not set
	// changes nothing, so that the request path pays no lock for it.
	doubtful atomic.Bool
	// current is the monitor's state.
	current atomic.Uint32
	// began and dataAt tell when data last arrived: dataAt is in nanoseconds since began, on the
	// monotonic clock.
	began  time.Time
	dataAt atomic.Int64
	// pauses counts the pauses of the process: what was seen before one proves nothing after it.
	pauses atomic.Uint64
	vouch  voucher

	mutex   sync.Mutex
	monitor *reachability.Monitor
	// changedAt is when the state last changed.
	changedAt time.Time
	// settled is closed when the current suspicion has been confirmed or refuted; nil without one.
	settled chan struct{}
	// probing is set while probes are made. suspicion tells them of a suspicion that has arisen since.
	probing   bool
	suspicion chan struct{}
}

func newMachinePath(n *Node) *machinePath {
	return &machinePath{node: n, machines: n, peers: newPeerSet(n.options.Now), began: time.Now(), monitor: reachability.New(), changedAt: n.options.Now(), suspicion: make(chan struct{}, 1)}
}

// dataArrived implements upstream.Options.OnData.
func (p *machinePath) dataArrived(opened time.Time) {
	p.dataAt.Store(int64(time.Since(p.began)))
	if !p.doubtful.Load() {
		return
	}
	p.update("data on a connection", func(m *reachability.Monitor) bool { return m.RecordData(p.node.options.Now(), opened) })
}

// Failed implements passthrough.Path. Without other nodes there is no other way to machines, so that a
// failure is then the machine's.
func (p *machinePath) Failed(address string, kind reachability.Kind, cause string) {
	if p.peers.empty() {
		return
	}
	known := p.machines.knownMachines()
	p.update(cause, func(m *reachability.Monitor) bool {
		return m.RecordFailure(p.node.options.Now(), address, kind, cause, known)
	})
}

// update changes the monitor and handles a change of the state.
func (p *machinePath) update(cause string, change func(m *reachability.Monitor) bool) {
	p.mutex.Lock()
	changed := change(p.monitor)
	state := p.monitor.State()
	p.doubtful.Store(p.monitor.Doubtful())
	if changed {
		p.current.Store(uint32(state))
		p.logChange(cause)
		p.settle(state)
	}
	probe := state != reachability.Connected && !p.probing
	p.probing = p.probing || probe
	p.mutex.Unlock()
	if changed {
		go func() { p.node.step(fleet.MachinePathChanged{State: p.state()}) }()
	}
	if probe {
		go p.probe()
	}
}

// logChange logs a change of the state. The caller holds the mutex.
func (p *machinePath) logChange(cause string) {
	now := p.node.options.Now()
	failed := p.monitor.Failed()
	p.node.options.Log.Write(eventlog.MachinePathChanged{
		State: p.monitor.State().String(), Failed: len(failed), Machines: strings.Join(failed[:min(len(failed), maxLoggedMachines)], ","),
		Heard: p.monitor.Doubtful() && !p.monitor.NothingHeard(), Before: now.Sub(p.changedAt), Cause: cause,
	})
	p.changedAt = now
}

// settle wakes those who wait for the outcome of a suspicion. The caller holds the mutex.
func (p *machinePath) settle(state reachability.State) {
	if state == reachability.Suspected {
		p.settled = make(chan struct{})
		select {
		case p.suspicion <- struct{}{}:
		default:
		}
		return
	}
	if p.settled != nil {
		close(p.settled)
		p.settled = nil
	}
}

// state returns the state of the path.
func (p *machinePath) state() reachability.State { return reachability.State(p.current.Load()) }

// Suspected implements passthrough.Path.
func (p *machinePath) Suspected() bool { return p.state() != reachability.Connected }

// Lost implements passthrough.Path. While no other node is known, machines can only be tried directly.
func (p *machinePath) Lost() bool { return p.state() == reachability.Lost && !p.peers.empty() }

// AllowsEstablished implements passthrough.Path.
func (p *machinePath) AllowsEstablished() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.monitor.AllowsEstablished(p.node.options.Now())
}

// AwaitVerdict implements passthrough.Path.
func (p *machinePath) AwaitVerdict(ctx context.Context) bool {
	p.mutex.Lock()
	settled := p.settled
	inDoubt := p.monitor.State() != reachability.Connected && p.monitor.NothingHeard() && len(p.monitor.Failed()) > 1
	p.mutex.Unlock()
	if !inDoubt {
		return false
	}
	if settled != nil {
		select {
		case <-settled:
		case <-ctx.Done():
		}
	}
	return p.Suspected()
}

// The times for vouching.
const (
	// freshData is the age up to which the last data from a machine shows that the path works. It is
	// longer than the time between two requests of a node that is in use, so that no probe is needed.
	freshData = time.Second
	// vouchTimeout bounds how long a request of another node waits for probes: a round trip takes 100 ms between
	// distant regions. An answer that comes later vouches for the next requests.
	vouchTimeout = 250 * time.Millisecond
)

// voucher remembers the last round of probes that was made to vouch for the path.
type voucher struct {
	mutex   sync.Mutex
	probeAt time.Time
	round   *vouchRound
	// pauses is machinePath.pauses at the probes.
	pauses uint64
}

// vouchRound is one round of probes for other nodes. It outlasts the wait of each of them.
type vouchRound struct {
	done   chan struct{}
	answer atomic.Bool
}

// paused forgets what was heard before a pause of the process or its machine. The monotonic clock stands
// while a machine is suspended, so that old data would count as fresh.
func (p *machinePath) paused() {
	p.pauses.Add(1)
	p.dataAt.Store(0)
}

// Vouch implements passthrough.Path. Concurrent calls share one round of probes.
func (p *machinePath) Vouch(ctx context.Context) bool {
	if at := p.dataAt.Load(); at > 0 && time.Since(p.began)-time.Duration(at) < freshData {
		return true
	}
	round := p.vouchRound()
	select {
	case <-round.done:
	case <-time.After(vouchTimeout):
	case <-ctx.Done():
	}
	return round.answer.Load()
}

// vouchRound returns the present round of probes, and begins one if the last is too old. A round does not end with
// the request that it was begun for, since others wait for it too.
func (p *machinePath) vouchRound() *vouchRound {
	v := &p.vouch
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if pauses := p.pauses.Load(); v.round == nil || pauses != v.pauses || time.Since(v.probeAt) >= probeInterval && v.round.ended() {
		round := &vouchRound{done: make(chan struct{})}
		v.round, v.pauses, v.probeAt = round, pauses, time.Now()
		go func() {
			defer close(round.done)
			if p.probeRound(true) {
				round.answer.Store(true)
				p.dataAt.Store(int64(time.Since(p.began)))
			}
		}()
	}
	return v.round
}

// ended reports whether all probes of the round have ended, or one was answered.
func (r *vouchRound) ended() bool {
	select {
	case <-r.done:
		return true
	default:
		return false
	}
}

// PickPeer implements passthrough.Path.
func (p *machinePath) PickPeer(excluded []cluster.NodeID) (passthrough.Peer, bool) {
	return p.peers.pick(excluded)
}

// PeerDrains implements passthrough.Path.
func (p *machinePath) PeerDrains(id cluster.NodeID) { p.peers.drains(id) }

// AwaitPeer implements passthrough.Path.
func (p *machinePath) AwaitPeer(ctx context.Context) bool {
	wait, found := p.peers.nextWithPath()
	if !found {
		return false
	}
	select {
	case <-time.After(wait):
		return true
	case <-ctx.Done():
		return false
	}
}

// PeerEnded implements passthrough.Path.
func (p *machinePath) PeerEnded(id cluster.NodeID, outcome passthrough.PeerOutcome) {
	p.peers.ended(id, outcome)
}

// findMachine returns the address of a machine for the request of another node.
func (n *Node) findMachine(id cluster.MachineID) (string, passthrough.PeerOutcome) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.core == nil {
		return "", passthrough.OutcomeUnknown
	}
	address, known := n.core.MachineAddress(id)
	switch {
	case !known:
		return "", passthrough.OutcomeUnknown
	case n.core.MachineBlocked(n.Now(), id):
		return "", passthrough.OutcomeBlocked
	}
	return address, ""
}

// peerRequestShare is the share of the bound on active requests that requests of other nodes may
// take: callers of this node come first.
const peerRequestShare = 0.5

// refusesPeers returns why this node sends no requests of other nodes now.
func (n *Node) refusesPeers(active int64) passthrough.PeerOutcome {
	most := n.options.CallerLimits.MaxRequestsInFlight
	switch {
	case n.refusesPeerRequests.Load():
		return passthrough.OutcomeDraining
	case !n.isReady.Load():
		return passthrough.OutcomeUnknown
	case most > 0 && float64(active) > peerRequestShare*float64(most):
		return passthrough.OutcomeOverloaded
	}
	if _, may := n.admitRequest(); !may {
		return passthrough.OutcomeOverloaded
	}
	return ""
}

// admitsPeerRequest reports whether a request of another node that ends within a time is sent. A node that stops sends
// only what ends within its drain, from the beginning of the stop: the other node may have one left that does not stop.
func (n *Node) admitsPeerRequest(within time.Duration) bool {
	limit := n.admission.Load()
	return limit == nil || !n.Now().Add(within).After(limit.until)
}

// maxBodyBytes returns the bound on the body of a request.
func (n *Node) maxBodyBytes() int64 {
	if compiled := n.compiled.Load(); compiled != nil && compiled.Limits.MaxBodyBytes > 0 {
		return compiled.Limits.MaxBodyBytes
	}
	return passthrough.DefaultMaxBodyBytes
}
