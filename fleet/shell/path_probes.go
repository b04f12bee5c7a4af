package shell

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/reachability"
)

const (
	// firstProbes is the number of machines that are probed first. If all of these fail, or none answers within
	// widenAfter, up to maxProbesAtOnce are: many machines may be down together while the path works.
	firstProbes     = 3
	widenAfter      = 100 * time.Millisecond
	maxProbesAtOnce = 32
	// probeTimeout bounds one probe: engines answer between two steps of a batch. probeInterval is the
	// time between two rounds of probes. It is short because a node uses its own path again only after
	// an answered probe, and long enough that probes cost little while a path is lost.
	probeTimeout  = 600 * time.Millisecond
	probeInterval = 500 * time.Millisecond
)

// probe sends probes on new connections until the path is back. The first after a suspicion go to machines that have
// not failed, if there are any; these may have ended since, so that later ones go to any.
func (p *machinePath) probe() {
	for suspected := p.takeSuspicion(); p.node.context.Err() == nil; {
		// The interval runs from the begin of a round: probes that hang would add their time to it.
		next := time.After(probeInterval)
		answered := p.probeRound(suspected)
		p.update("probes", func(m *reachability.Monitor) bool { return m.RecordProbe(p.node.options.Now(), answered) })
		p.mutex.Lock()
		done := p.monitor.State() == reachability.Connected
		p.probing = !done
		p.mutex.Unlock()
		if done {
			return
		}
		suspected = p.awaitRound(next)
	}
}

// takeSuspicion reports whether a suspicion has arisen since the last call.
func (p *machinePath) takeSuspicion() bool {
	select {
	case <-p.suspicion:
		return true
	default:
		return false
	}
}

// awaitRound waits for the next round of probes. A new suspicion begins it at once; it reports whether one did.
func (p *machinePath) awaitRound(next <-chan time.Time) bool {
	select {
	case <-p.suspicion:
		return true
	case <-next:
	case <-p.node.context.Done():
	}
	return false
}

// probeRound makes one round of probes.
func (p *machinePath) probeRound(avoidFailed bool) bool {
	ctx, cancel := context.WithTimeout(p.node.context, probeTimeout)
	defer cancel()
	return p.probeOnce(ctx, avoidFailed)
}

// probeOnce probes some machines and, unless one of them answers soon, more of them. It reports whether one
// answered. Those that failed are among the first with avoidFailed only if there are no others.
func (p *machinePath) probeOnce(ctx context.Context, avoidFailed bool) bool {
	var failed []string
	if avoidFailed {
		p.mutex.Lock()
		failed = p.monitor.Failed()
		p.mutex.Unlock()
	}
	targets := p.sampleMachines(maxProbesAtOnce, failed)
	first := targets[:min(firstProbes, len(targets))]
	answers := make(chan bool, len(first)+len(targets))
	p.sendProbes(ctx, first, answers)
	open, widened := len(first), false
	widen := time.NewTimer(widenAfter)
	defer widen.Stop()
	for open > 0 || !widened {
		if open == 0 {
			widen.Reset(0)
		}
		select {
		case answered := <-answers:
			if answered {
				return true
			}
			open--
		case <-widen.C:
			// The first are asked again: one that hung may serve new connections meanwhile.
			p.sendProbes(ctx, targets, answers)
			open, widened = open+len(targets), true
		}
	}
	return false
}

// sendProbes probes machines at the same time. The outcome of each goes to the channel, which has room for all.
func (p *machinePath) sendProbes(ctx context.Context, targets []fleet.ProbeTarget, answers chan<- bool) {
	for _, target := range targets {
		go func() {
			err := p.node.options.Engines.Probe(ctx, target.Address, target.HealthPath)
			p.node.metrics.countCall("probe", err)
			answers <- err == nil
		}()
	}
}

// sampleMachines returns random machines, and avoided ones only if there are no others.
func (p *machinePath) sampleMachines(count int, avoided []string) []fleet.ProbeTarget {
	targets := p.machines.probeTargets()
	rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	avoid := func(target fleet.ProbeTarget) int { return boolToInt(slices.Contains(avoided, target.Address)) }
	slices.SortStableFunc(targets, func(a, b fleet.ProbeTarget) int { return avoid(a) - avoid(b) })
	return targets[:min(count, len(targets))]
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// knownMachines implements machineSource.
func (n *Node) knownMachines() int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.core == nil {
		return 0
	}
	return n.core.Machines()
}

// probeTargets implements machineSource.
func (n *Node) probeTargets() []fleet.ProbeTarget {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.core == nil {
		return nil
	}
	return n.core.ProbeTargets()
}
