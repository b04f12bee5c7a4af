package shell

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/reachability"
)

// maxLoggedMachines bounds the machines that a line on the path names.
const maxLoggedMachines = 8

// machinePath observes this node's connections to machines and decides whether the node has lost its
// path to them. It is safe for concurrent use.
type machinePath struct {
	node *Node
	// doubtful is set while the monitor holds failures. Data that arrives while it is not set
	// changes nothing, so that the request path pays no lock for it.
	doubtful atomic.Bool

	mutex   sync.Mutex
	monitor *reachability.Monitor
	// changedAt is when the state last changed.
	changedAt time.Time
}

func newMachinePath(n *Node) *machinePath {
	return &machinePath{node: n, monitor: reachability.New(), changedAt: n.options.Now()}
}

// dataArrived implements upstream.Options.OnData.
func (p *machinePath) dataArrived(opened time.Time) {
	if !p.doubtful.Load() {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.changed(p.monitor.RecordData(p.node.options.Now(), opened), "data on a connection")
}

// Failed implements passthrough.Path.
func (p *machinePath) Failed(address string, kind reachability.Kind, cause string) {
	known := p.node.knownMachines()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.changed(p.monitor.RecordFailure(p.node.options.Now(), address, kind, cause, known), cause)
}

// changed logs a change of the state. The caller holds the mutex.
func (p *machinePath) changed(changed bool, cause string) {
	p.doubtful.Store(p.monitor.Doubtful())
	if !changed {
		return
	}
	now := p.node.options.Now()
	failed := p.monitor.Failed()
	p.node.options.Log.Write(eventlog.MachinePathChanged{
		State: p.monitor.State().String(), Failed: len(failed), Machines: strings.Join(failed[:min(len(failed), maxLoggedMachines)], ","),
		Heard: p.monitor.Doubtful() && !p.monitor.NothingHeard(), Before: now.Sub(p.changedAt), Cause: cause,
	})
	p.changedAt = now
}

// state returns the state of the path.
func (p *machinePath) state() reachability.State {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.monitor.State()
}

// knownMachines returns the number of machines that this node knows.
func (n *Node) knownMachines() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.core == nil {
		return 0
	}
	return n.core.Machines()
}
