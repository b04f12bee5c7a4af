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

// A suspended machine's steady clock stands and its timers with it, while leases, deadlines
// and the age of what is known go on. These tests let a node's clock jump as the one that
// counts suspension does, and leave its timers where they are.

// jumpingClock is a clock that was suspended for a time.
type jumpingClock struct{ suspended atomic.Int64 }

func (c *jumpingClock) Now() time.Time { return time.Now().Add(time.Duration(c.suspended.Load())) }

// suspend lets a time pass that timers don't count.
func (c *jumpingClock) suspend(d time.Duration) { c.suspended.Add(int64(d)) }

// suspensible starts a node with a clock that can be suspended, and its log.
func (d *deployment) suspensible(id string) (*shell.Node, *jumpingClock, *logText) {
	clock, lines := &jumpingClock{}, &logText{}
	node := d.startNode(id, func(o *shell.Options) {
		o.Now, o.Log = clock.Now, eventlog.New(lines, eventlog.Options{})
	})
	return node, clock, lines
}

// TestWakingNodeRefreshesBeforeDispatch: the first request after a suspension is not sent
// by what the node knew before it.
func TestWakingNodeRefreshesBeforeDispatch(t *testing.T) {
	d := newDeployment(t, patient)
	d.addWorker("p1", plainService, nil)
	node, clock, lines := d.suspensible("n1")
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

// TestSuspensionIsNoLateness: a measurement that a suspension interrupts does not make the
// node refuse requests as one that has too much to do.
func TestSuspensionIsNoLateness(t *testing.T) {
	const suspended = time.Hour
	d := newDeployment(t, patient)
	node, clock, _ := d.suspensible("n1")
	release := node.HoldSteps()
	defer release()
	d.eventually("a measurement waits", func() bool { return node.Late() > 0 })
	clock.suspend(suspended)
	if late := node.Late(); late >= suspended {
		t.Errorf("%v late after %v of suspension", late, suspended)
	}
}

// TestWakingNodeEndsWhatIsPastItsDeadline: a request whose time ran out during a suspension
// ends at once, though its timers have seconds left.
func TestWakingNodeEndsWhatIsPastItsDeadline(t *testing.T) {
	d := newDeployment(t, patient)
	running := make(chan struct{})
	d.addWorker("p1", plainService, nil).Behave = func(*http.Request) worker.Behaviour {
		close(running)
		return worker.Hang
	}
	node, clock, _ := d.suspensible("n1")
	got := make(chan reply, 1)
	go func() { got <- d.call(node, http.MethodPost, "/write/", "b", nil) }()
	<-running
	clock.suspend(time.Hour)
	if r := <-got; r.status != http.StatusGatewayTimeout {
		t.Errorf("answer %+v", r)
	}
}

// TestWakingNodeTellsNoTimeThatIsOver: the time left that a worker is told of counts a
// suspension between two attempts.
func TestWakingNodeTellsNoTimeThatIsOver(t *testing.T) {
	const suspended = 4 * time.Second
	d := newDeployment(t, patient)
	node, clock, _ := d.suspensible("n1")
	var mu sync.Mutex
	told := map[string][]int{}
	twice := func() []int {
		mu.Lock()
		defer mu.Unlock()
		for _, left := range told {
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
		told[id] = append(told[id], left)
		if len(told[id]) > 1 {
			return worker.Serve
		}
		clock.suspend(suspended)
		return worker.CutAfterRun
	}
	d.eventually("a request is run twice", func() bool {
		d.call(node, http.MethodGet, "/read/", "", nil)
		return twice() != nil
	})
	if left := twice(); left[1] > left[0]-int(suspended.Milliseconds()) {
		t.Errorf("the first worker was told of %d ms, the second one, %s later, of %d", left[0], suspended, left[1])
	}
}

// TestWakingHolderGivesNoOrders before it has the lease again: it was over while the machine
// was suspended, and another node may have had it.
func TestWakingHolderGivesNoOrders(t *testing.T) {
	d := newDeployment(t, patient)
	d.addWorker("e1", engineService, nil)
	node, clock, lines := d.suspensible("n1")
	d.eventually("the node gives the orders", node.Holding)
	before := len(lines.String())
	clock.suspend(5 * time.Second)
	if got := d.callAsTold(node, http.MethodPost, "/stream/", "b", withModel("rare")); got.status != http.StatusOK {
		t.Fatalf("answer %+v", got)
	}
	d.eventually("the order is logged", func() bool { return strings.Contains(lines.String()[before:], "msg=order_planned") })
	text := lines.String()[before:]
	ordered, taken := strings.Index(text, "msg=order_planned"), strings.Index(text, "own=true")
	if taken < 0 || taken > ordered {
		t.Errorf("an order was planned before the lease was taken again:\n%s", text)
	}
}

// TestWakingRelayPassesOnNothingOld: what a node that relays the store's changes read before
// its machine was suspended does not count as read now, for itself and for its peers: all
// follow a configuration that came meanwhile.
func TestWakingRelayPassesOnNothingOld(t *testing.T) {
	d := newDeployment(t, patient)
	d.addWorker("p1", plainService, nil)
	relay, clock, lines := d.suspensible("n0")
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
		t.Error("the relay did not notice that it stood still")
	}
}
