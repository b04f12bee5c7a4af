package upstream

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// TestConnectionCarriesRequestOnce guards against sending a request a second time on a connection, where the answers
// to both sends look alike, and against opening connections for requests that the idle ones have not carried.
func TestConnectionCarriesRequestOnce(t *testing.T) {
	t.Parallel()
	m, pool := startMachine(t), newPool(Options{IdleLimit: time.Hour})
	address := m.Addr().String()
	send := func(request string) *Conn {
		c, err := pool.GetFor(context.Background(), address, request)
		if err != nil {
			t.Fatal(err)
		}
		c.RecordCarried(request, time.Minute)
		if err := exchange(t, c, testTimeout); err != nil {
			t.Fatal(err)
		}
		c.Release()
		return c
	}
	first := send("a")
	if second := send("a"); second == first {
		t.Error("a request was sent twice on one connection")
	}
	if third := pool.GetIdleFor(address, "a"); third != nil {
		t.Error("an idle connection that carried a request is offered for it")
	}
	for _, request := range []string{"b", "c"} {
		if c := send(request); !c.HasCarried("a") {
			t.Errorf("a connection was opened for request %s", request)
		}
	}
	if opened := pool.Opened(); opened != 2 {
		t.Errorf("%d connections were opened, want 2", opened)
	}
}

// TestCarriedRequestsAreBounded guards against a connection that remembers more requests the longer it lives.
func TestCarriedRequestsAreBounded(t *testing.T) {
	t.Parallel()
	m, pool := startMachine(t), newPool(Options{})
	c := get(t, pool, m)
	for n := range 10 * maxCarried {
		c.RecordCarried(fmt.Sprint("short-", n), -time.Second)
	}
	if c.unusable || len(c.carried) > maxCarried {
		t.Errorf("%d requests whose time is over are remembered, unusable %t", len(c.carried), c.unusable)
	}
	for n := range maxCarried {
		c.RecordCarried(fmt.Sprint("long-", n), time.Hour)
	}
	if !c.HasCarried("long-0") {
		t.Error("a request that may still be sent again was forgotten")
	}
	c.RecordCarried("one-more", time.Hour)
	if !c.unusable {
		t.Error("a connection that has carried too many requests to remember stays in use")
	}
}
