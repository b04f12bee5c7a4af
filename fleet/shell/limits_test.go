package shell_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/platform"
)

// tokensPerRequest is the number of tokens that each request of these tests counts.
const tokensPerRequest = 100

// newLimitedDeployment starts three nodes and a tenant that may use perSecond requests a second,
// with a burst of as many.
func newLimitedDeployment(t *testing.T, perSecond float64) (*deployment, []*shell.Node) {
	t.Helper()
	d := newDeployment(t)
	d.tenants = []platform.TenantDocument{
		{Name: "clinic", Keys: []string{"clinic-1"}, Unit: "tokens", PlainTokens: tokensPerRequest, RatePerS: perSecond * tokensPerRequest, Burst: perSecond * tokensPerRequest},
		{Name: "school", Keys: []string{"school-1"}},
	}
	d.configure(2)
	var nodes []*shell.Node
	for i := range 3 {
		nodes = append(nodes, d.startNode(fmt.Sprintf("n%d", i), withKeyProof, func(o *shell.Options) {
			o.Core.Self = fleet.NodeEntry{ID: o.Core.Self.ID, Machine: fmt.Sprintf("machine-%d", i), Capacity: 1}
		}))
	}
	return d, nodes
}

// TestTenantLimitHoldsAcrossNodes guards against a tenant that gets its limit once per node.
// Callers of one tenant flood three nodes; together they must get no more than the limit, the
// rest 429 with Retry-After, and another tenant must be served throughout.
func TestTenantLimitHoldsAcrossNodes(t *testing.T) {
	const perSecond = 20
	d, nodes := newLimitedDeployment(t, perSecond)
	plain := d.addWorker("p1", plainService, nil)
	d.eventually("all nodes find the lender", func() bool {
		for _, n := range nodes {
			if d.call(n, http.MethodGet, "/read/", "", withKey("clinic-1")).status == http.StatusServiceUnavailable {
				return false
			}
		}
		return true
	})
	began, before := time.Now(), len(plain.Runs())
	var mutex sync.Mutex
	var served, rejected, others int
	var callers sync.WaitGroup
	for i := range 24 {
		callers.Go(func() {
			for range 25 {
				key := "clinic-1"
				if i == 0 {
					key = "school-1"
				}
				// On a busy machine the answer of the lender may come later than the node waits
				// for it; the caller then repeats the request as told.
				got := d.callWithRetryAfter(nodes[i%3], http.MethodGet, "/read/", "", withKey(key))
				back, _ := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
				mutex.Lock()
				switch {
				case got.status == http.StatusOK && i == 0:
					others++
				case got.status == http.StatusOK:
					served++
				case got.status == http.StatusTooManyRequests && back > 0:
					rejected++
				default:
					t.Errorf("answer %+v", got)
				}
				mutex.Unlock()
			}
		})
	}
	callers.Wait()
	took := time.Since(began).Seconds()
	if limit := perSecond*(took+0.5) + perSecond; float64(served) > limit {
		t.Errorf("%d requests were served in %.1f s, at most %.0f may be", served, took, limit)
	}
	if rejected == 0 || others != 25 {
		t.Errorf("%d rejected, %d of 25 served for the other tenant", rejected, others)
	}
	if ran := len(plain.Runs()) - before; ran != served+others {
		t.Errorf("%d ran, %d were served", ran, served+others)
	}
}

// TestLenderIsReplacedAfterNodeDies guards against a limited tenant that is not served after the
// node that lends its tokens died.
func TestLenderIsReplacedAfterNodeDies(t *testing.T) {
	d, nodes := newLimitedDeployment(t, 1000)
	d.addWorker("p1", plainService, nil)
	serves := func(n *shell.Node) bool {
		return d.call(n, http.MethodGet, "/read/", "", withKey("clinic-1")).status == http.StatusOK
	}
	d.eventually("requests are served", func() bool { return serves(nodes[0]) && serves(nodes[1]) && serves(nodes[2]) })
	nodes[0].Kill()
	d.eventually("requests are served by the others", func() bool { return serves(nodes[1]) && serves(nodes[2]) })
}

// TestNewLenderTakesTicketOnce guards against two lenders within one window. A new lender must
// write a ticket key that no other node may write for longer than a window, once; a later lender
// finds the key and lends.
func TestNewLenderTakesTicketOnce(t *testing.T) {
	d, nodes := newLimitedDeployment(t, 20)
	d.addWorker("p1", plainService, nil)
	served := func(n *shell.Node) func() bool {
		return func() bool {
			return d.call(n, http.MethodGet, "/read/", "", withKey("clinic-1")).status == http.StatusOK
		}
	}
	d.eventually("there is a lender", served(nodes[0]))
	d.eventually("the ticket of the tenant's shard is taken", func() bool { return len(d.store.Keys(fleet.KeyTickets)) == 1 })
	nodes[0].Kill()
	nodes[1].Kill()
	d.startNode("n0-again", withKeyProof, func(o *shell.Options) {
		o.Core.Self = fleet.NodeEntry{ID: o.Core.Self.ID, Machine: "machine-0", Capacity: 1}
	})
	d.eventually("there is a lender again", served(nodes[2]))
	if keys := d.store.Keys(fleet.KeyTickets); len(keys) != 1 {
		t.Errorf("tickets %v", keys)
	}
}
