package check

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestPartitionIsJudgedOverOneTime guards against comparing nodes that are cut off with what other nodes served
// at another time: workers may have failed for all nodes meanwhile. A cut of node 1 begins at 1 s; all but the
// given share of requests fail at each node from 4 s on.
func TestPartitionIsJudgedOverOneTime(t *testing.T) {
	for _, c := range []struct {
		name string
		// servedOf is how many of 20 requests each node serves from 4 s on.
		servedOf [2]int
		broken   bool
	}{
		{"both serve little", [2]int{6, 6}, false},
		{"the cut node serves two thirds as often", [2]int{9, 6}, false},
		{"the cut node serves less", [2]int{10, 6}, true},
		{"the cut node serves nothing", [2]int{4, 0}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &History{Disturbances: []Disturbance{{Node: 1, Scope: ScopePath, From: time.Second, To: 9 * time.Second}}}
			for node := range 2 {
				for n := range 60 {
					sent := time.Second + time.Duration(n)*100*time.Millisecond
					request := completedRequest(fmt.Sprintf("n%d-%d", node, n), RouteRead, sent)
					request.Node = node
					if sent >= 4*time.Second && n%20 >= c.servedOf[node] {
						request.Status = http.StatusServiceUnavailable
					}
					h.Requests = append(h.Requests, request)
				}
			}
			expectPartitionBreach(t, h, c.broken)
		})
	}
}

// TestPartitionCountsRequestsThatOutlastIt guards against judging only requests that end before the cut does:
// refusals at once would count at one node, and callers who wait in vain would not at another.
func TestPartitionCountsRequestsThatOutlastIt(t *testing.T) {
	for _, c := range []struct {
		name     string
		openAt   int
		refuseAt int
		broken   bool
	}{
		{"the cut node refuses at once, the other one lets callers wait", 0, 1, false},
		{"the cut node lets callers wait until it is whole again", 1, -1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &History{Disturbances: []Disturbance{{Node: 1, Scope: ScopePath, From: time.Second, To: 9 * time.Second}}}
			for node := range 2 {
				for n := range 40 {
					request := completedRequest(fmt.Sprintf("n%d-%d", node, n), RouteRead, 5*time.Second+time.Duration(n)*50*time.Millisecond)
					request.Node = node
					switch {
					case n%5 == 0:
					case node == c.openAt:
						request.Ended = 9500 * time.Millisecond
					case node == c.refuseAt:
						request.Status = http.StatusServiceUnavailable
					}
					h.Requests = append(h.Requests, request)
				}
			}
			expectPartitionBreach(t, h, c.broken)
		})
	}
}

// TestPartitionCountsAnswersUntilNodeIsWhole guards against counting what was served through other nodes as failed
// because another node was cut off before the answer ended, at the node that is cut off or at those it is compared with.
func TestPartitionCountsAnswersUntilNodeIsWhole(t *testing.T) {
	const (
		atOnce = iota
		late
		refuses
	)
	for _, c := range []struct {
		name string
		// conduct is what each node does with four of five requests: it answers at once, or late, after the cut of
		// node 2 has begun, or it refuses.
		conduct [2]int
		broken  bool
	}{
		{"both answer late", [2]int{late, late}, false},
		{"only the cut node answers late", [2]int{atOnce, late}, false},
		{"the cut node refuses, the other one answers late", [2]int{late, refuses}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &History{Disturbances: []Disturbance{
				{Node: 1, Scope: ScopePath, From: time.Second, To: 9 * time.Second},
				{Node: 2, Scope: ScopePath, From: 7 * time.Second, To: 8 * time.Second},
			}}
			for node, conduct := range c.conduct {
				for n := range 40 {
					request := completedRequest(fmt.Sprintf("n%d-%d", node, n), RouteRead, 5*time.Second+time.Duration(n)*40*time.Millisecond)
					request.Node = node
					switch {
					case n%5 == 0:
					case conduct == refuses:
						request.Status = http.StatusServiceUnavailable
					case conduct == late:
						request.Ended = 7500 * time.Millisecond
					}
					h.Requests = append(h.Requests, request)
				}
			}
			expectPartitionBreach(t, h, c.broken)
		})
	}
}

// TestPartitionComparesRoutesWithEachOther guards against blaming nodes that are cut off for a service that
// nobody is served by, and against hiding what they fail behind the routes that their callers happen to ask for.
func TestPartitionComparesRoutesWithEachOther(t *testing.T) {
	for _, c := range []struct {
		name string
		// reads is how many of 40 requests at each node are reads, which no node serves; of the streams the
		// cut node fails as many.
		reads       [2]int
		failStreams int
		broken      bool
	}{
		{"callers of the cut node ask more often for what nobody serves", [2]int{10, 30}, 0, false},
		{"callers of the cut node ask more often for what is served", [2]int{30, 10}, 12, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &History{Disturbances: []Disturbance{{Node: 1, Scope: ScopePath, From: time.Second, To: 9 * time.Second}}}
			for node, reads := range c.reads {
				for n := range 40 {
					request := completedRequest(fmt.Sprintf("n%d-%d", node, n), RouteStream, 5*time.Second+time.Duration(n)*50*time.Millisecond)
					request.Node = node
					if n < reads {
						request.Route = RouteRead
					}
					if n < reads || node == 1 && n < reads+c.failStreams {
						request.Status = http.StatusServiceUnavailable
					}
					h.Requests = append(h.Requests, request)
				}
			}
			expectPartitionBreach(t, h, c.broken)
		})
	}
}

// expectPartitionBreach checks whether a history breaks the promise on nodes without a path to workers.
func expectPartitionBreach(t *testing.T, h *History, broken bool) {
	t.Helper()
	var f Finding
	checkPartitions(h, &f)
	if found := len(f.Breaches) > 0; found != broken {
		t.Errorf("breaches %v, want some: %v", f.Breaches, broken)
	}
}

// TestStreamThatItsCallerLeftCountsAsServed guards against nodes without a path to workers that are blamed for streams
// whose callers left by themselves, having got what they wanted.
func TestStreamThatItsCallerLeftCountsAsServed(t *testing.T) {
	for left, breaches := range map[bool]int{true: 0, false: 1} {
		h := validHistory()
		for i := range h.Requests {
			if request := &h.Requests[i]; strings.HasPrefix(request.ID, "n1-cut-") {
				request.Left, request.Failure = left, "the answer ended early"
			}
		}
		if finding := findingFor(Judge(h), PromisePath); len(finding.Breaches) != breaches {
			t.Errorf("left %t: %v, want %d breaches", left, finding.Breaches, breaches)
		}
	}
}
