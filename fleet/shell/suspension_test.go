package shell_test

import (
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/standin/worker"
)

// While a machine is suspended its monotonic clock and its timers stand still, but leases,
// deadlines and the age of knowledge advance. In these tests a node's clock jumps like one that
// counts suspensions, and its timers don't.

// suspendableClock is a clock that can be advanced as by a suspension.
type suspendableClock struct{ suspended atomic.Int64 }

func (c *suspendableClock) Now() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }

// suspend advances the clock by a time that timers don't count.
func (c *suspendableClock) suspend(d time.Duration) { c.suspended.Add(int64(d)) }

// startSuspendableNode starts a node with a clock that can be suspended, and returns its log.
func (d *deployment) startSuspendableNode(id string) (*shell.Node, *suspendableClock, *logText) {
	clock, lines := &suspendableClock{}, &logText{}
	node := d.startNode(id, func(o *shell.Options) {
		o.Now, o.Log = clock.Now, eventlog.New(lines, eventlog.Options{})
	})
	return node, clock, lines
}

// TestNodeRefreshesBeforeDispatchAfterSuspension guards against sending the first request after a
// suspension by outdated knowledge: the pause must be detected first.
func TestNodeRefreshesBeforeDispatchAfterSuspension(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	d.addWorker("p1", plainService, nil)
	node, clock, lines := d.startSuspendableNode("n1")
	d.eventually("a request is served", func() bool {
		return d.call(node, http.MethodGet, "/read/", "", nil).status == http.StatusOK
	})
	clock.suspend(5 * time.Second)
	const id = "after-the-suspension"
	got := d.call(node, http.MethodGet, "/read/", "", func(h http.Header) { h.Set(platform.HeaderRequestID, id) })
	if got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	var noticed, sent int
	d.eventually("both lines are written", func() bool {
		text := lines.String()
		noticed, sent = strings.Index(text, "msg=pause_noticed"), strings.Index(text, "msg=request_sent request="+id)
		return sent >= 0 && (noticed >= 0 || strings.Contains(text, "msg=request_ended request="+id))
	})
	if noticed < 0 || noticed > sent {
		t.Errorf("the request was sent before the suspension was noticed:\n%s", lines)
	}
}

// TestSuspensionIsNotCountedAsSchedulingDelay guards against rejecting requests for overload
// after a suspension interrupted the measurement of the scheduling delay.
func TestSuspensionIsNotCountedAsSchedulingDelay(t *testing.T) {
	const suspended = time.Hour
	d := newDeployment(t, withoutLatencyObjective)
	node, clock, _ := d.startSuspendableNode("n1")
	release := node.BlockSteps()
	defer release()
	d.eventually("a measurement is waiting", func() bool { return node.SchedulingDelay() > 0 })
	clock.suspend(suspended)
	if late := node.SchedulingDelay(); late >= suspended {
		t.Errorf("scheduling delay of %v after %v of suspension", late, suspended)
	}
}

// TestRequestPastDeadlineEndsAfterSuspension guards against a request that outlives its deadline
// because its timers did not advance during a suspension.
func TestRequestPastDeadlineEndsAfterSuspension(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	running := make(chan struct{})
	d.addWorker("p1", plainService, nil).Behave = func(*http.Request) worker.Behaviour {
		close(running)
		return worker.Hang
	}
	node, clock, _ := d.startSuspendableNode("n1")
	got := make(chan reply, 1)
	go func() { got <- d.call(node, http.MethodPost, "/write/", "b", nil) }()
	<-running
	clock.suspend(time.Hour)
	if r := <-got; r.status != http.StatusGatewayTimeout {
		t.Errorf("answer %+v", r)
	}
}

// TestDeadlineSentToWorkerCountsSuspension guards against telling a worker more time than is left
// after a suspension between two attempts.
func TestDeadlineSentToWorkerCountsSuspension(t *testing.T) {
	const suspended = 4 * time.Second
	d := newDeployment(t, withoutLatencyObjective)
	node, clock, _ := d.startSuspendableNode("n1")
	var mu sync.Mutex
	deadlines := map[string][]int{}
	retriedDeadlines := func() []int {
		mu.Lock()
		defer mu.Unlock()
		for _, left := range deadlines {
			if len(left) > 1 {
				return left
			}
		}
		return nil
	}
	d.addWorker("p1", plainService, nil).Behave = func(r *http.Request) worker.Behaviour {
		left, err := strconv.Atoi(r.Header.Get(platform.HeaderDeadline))
		if err != nil {
			t.Error(err)
		}
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get(platform.HeaderRequestID)
		deadlines[id] = append(deadlines[id], left)
		if len(deadlines[id]) > 1 {
			return worker.Serve
		}
		clock.suspend(suspended)
		return worker.CutAfterRun
	}
	d.eventually("a request is run twice", func() bool {
		d.call(node, http.MethodGet, "/read/", "", nil)
		return retriedDeadlines() != nil
	})
	if left := retriedDeadlines(); left[1] > left[0]-int(suspended.Milliseconds()) {
		t.Errorf("the first worker got a deadline of %d ms, the second one, %s later, of %d ms", left[0], suspended, left[1])
	}
}

// TestLeaseHolderTakesLeaseAgainAfterSuspension guards against orders from a node whose lease
// expired while it was suspended: another node may hold the lease, so the node must take it again
// first.
func TestLeaseHolderTakesLeaseAgainAfterSuspension(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	d.addWorker("e1", engineService, nil)
	node, clock, lines := d.startSuspendableNode("n1")
	d.eventually("the node gives the orders", node.HoldsOrderLease)
	before := len(lines.String())
	clock.suspend(5 * time.Second)
	if got := d.callWithRetryAfter(node, http.MethodPost, "/stream/", "b", withModel("rare")); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	d.eventually("the order is logged", func() bool { return strings.Contains(lines.String()[before:], "msg=order_planned") })
	text := lines.String()[before:]
	ordered, taken := strings.Index(text, "msg=order_planned"), strings.Index(text, "own=true")
	if taken < 0 || taken > ordered {
		t.Errorf("an order was planned before the lease was taken again:\n%s", text)
	}
}

// TestRelayReadsStoreAgainAfterSuspension guards against a relay that treats what it read before
// a suspension as current: the relay and its peers must follow a configuration that was written
// meanwhile.
func TestRelayReadsStoreAgainAfterSuspension(t *testing.T) {
	d := newDeployment(t, withoutLatencyObjective)
	d.addWorker("p1", plainService, nil)
	relay, clock, lines := d.startSuspendableNode("n0")
	nodes := []*shell.Node{relay}
	for _, id := range []string{"n1", "n2", "n3"} {
		nodes = append(nodes, d.startNode(id))
	}
	clock.suspend(5 * time.Second)
	d.configure(2, route("added", "idempotent", plainService, 1, false))
	for i, node := range nodes {
		d.eventually("node "+strconv.Itoa(i)+" serves the new route", func() bool {
			return d.call(node, http.MethodGet, "/added/", "", nil).status == http.StatusOK
		})
	}
	if !strings.Contains(lines.String(), "msg=pause_noticed") {
		t.Error("the relay did not detect the pause")
	}
}
