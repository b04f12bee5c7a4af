package passthrough

import (
	"context"
	"net/http/httptest"
	"testing"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/reachability"
)

// fixedPath is a Path whose failures are or are not those of the path.
type fixedPath struct{ atFault bool }

func (p fixedPath) Failed(string, reachability.Kind, string)     {}
func (p fixedPath) Suspected() bool                              { return p.atFault }
func (p fixedPath) Lost() bool                                   { return p.atFault }
func (p fixedPath) AllowsEstablished() bool                      { return !p.atFault }
func (p fixedPath) AwaitVerdict(context.Context) bool            { return p.atFault }
func (p fixedPath) Vouch(context.Context) bool                   { return !p.atFault }
func (p fixedPath) PickPeer([]cluster.NodeID) (Peer, bool)       { return Peer{}, false }
func (p fixedPath) AwaitPeer(context.Context) bool               { return false }
func (p fixedPath) PeerEnded(id cluster.NodeID, out PeerOutcome) {}

// TestLostPathIsNoEvidenceAgainstRequests guards against requests that are refused as harmful on all nodes
// because a node lost its connections to all machines at once.
func TestLostPathIsNoEvidenceAgainstRequests(t *testing.T) {
	for _, c := range []struct {
		name    string
		atFault bool
		peer    *Peer
		counts  bool
	}{
		{"the machine", false, nil, true},
		{"the path", true, nil, false},
		{"the machine, as another node saw", true, &Peer{ID: "n2"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &exchange{Handler: &Handler{Config: Config{Path: fixedPath{c.atFault}}}, request: httptest.NewRequest("GET", "/", nil)}
			a := &attempt{exchange: e, peer: c.peer, connectionBroken: true, processEnded: true}
			a.withdrawEvidence(context.Background())
			if a.connectionBroken != c.counts || a.processEnded != c.counts {
				t.Errorf("broken %t, ended %t", a.connectionBroken, a.processEnded)
			}
		})
	}
}

// TestFailureOnTheWayIsNotTheMachines guards against back-offs from machines because the node has lost its own
// path, or a node through which it sends.
func TestFailureOnTheWayIsNotTheMachines(t *testing.T) {
	for _, c := range []struct {
		name    string
		atFault bool
		attempt attempt
		doubted bool
	}{
		{"the machine failed", false, attempt{unreached: true}, false},
		{"the path is suspected", true, attempt{unreached: true}, true},
		{"the machine answered", true, attempt{answered: true}, false},
		{"the machine is full", true, attempt{engineFull: true}, false},
		{"the peer is gone", true, attempt{peer: &Peer{ID: "n2"}, peerOutcome: OutcomeDisconnected}, true},
		{"the machine failed, as another node saw", true, attempt{peer: &Peer{ID: "n2"}, peerOutcome: OutcomeBroken}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.attempt.exchange = &exchange{Handler: &Handler{Config: Config{Path: fixedPath{c.atFault}}}}
			if got := c.attempt.pathDoubted(); got != c.doubted {
				t.Errorf("doubted %t, want %t", got, c.doubted)
			}
		})
	}
}
