package machines_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	platform "github.com/valveslip/valveslip/machines"
	"github.com/valveslip/valveslip/standin/fault"
	"github.com/valveslip/valveslip/standin/machines"
)

var epoch = time.Unix(1_000_000, 0)

func at(seconds int) time.Time { return epoch.Add(time.Duration(seconds) * time.Second) }

func TestListLagsAndReclaims(t *testing.T) {
	state := machines.NewState(2 * time.Second)
	state.Put(at(0), cluster.Machine{ID: "b", Zone: "z"})
	state.Put(at(0), cluster.Machine{ID: "a", Zone: "z"})
	if _, found := state.Reclaim(at(10), "absent", time.Second); found {
		t.Fatal("reclaimed a machine that is not there")
	}
	if _, found := state.Reclaim(at(10), "a", 5*time.Second); !found {
		t.Fatal("machine not found")
	}
	cases := []struct {
		second, count int
		leaving       bool
		version       uint64
	}{{1, 0, false, 0}, {2, 2, false, 2}, {11, 2, false, 2}, {12, 2, true, 3}, {16, 2, true, 3}, {17, 1, false, 4}}
	for _, test := range cases {
		list, version := state.List(at(test.second))
		if len(list) != test.count || version != test.version || test.count > 0 && list[0].Leaving != test.leaving {
			t.Errorf("at %d s: %+v, version %d", test.second, list, version)
		}
	}
	state.Freeze(at(11))
	if list, _ := state.List(at(60)); len(list) != 2 {
		t.Errorf("frozen: %+v", list)
	}
}

// TestReclaimReachesEngine: the list passes the reclaim on to the machine.
func TestReclaimReachesEngine(t *testing.T) {
	got := make(chan string, 1)
	engine := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { got <- request.URL.Path }))
	defer engine.Close()
	server := machines.NewServer(0, 1)
	listener := httptest.NewServer(server)
	defer listener.Close()
	server.Put(cluster.Machine{ID: "a", Address: strings.TrimPrefix(engine.URL, "http://")})
	body := strings.NewReader(`{"kind":"reclaim","machine":"a","notice":"1h"}`)
	answer, err := http.Post(listener.URL+fault.Path, "application/json", body)
	if err != nil || answer.StatusCode != http.StatusNoContent {
		t.Fatalf("fault: %v, %v", answer, err)
	}
	_ = answer.Body.Close()
	if path := <-got; path != fault.Path {
		t.Fatalf("engine got %s", path)
	}
	client := platform.NewClient(listener.URL)
	defer client.Close()
	list, _, err := client.List(context.Background())
	if err != nil || len(list) != 1 || !list[0].Leaving {
		t.Fatalf("list %+v, %v", list, err)
	}
}

// TestUnchangedListIsNotSentAgain counts the bytes of two reads of a long list,
// and checks that a change comes through.
func TestUnchangedListIsNotSentAgain(t *testing.T) {
	server := machines.NewServer(0, 1)
	var sent atomic.Int64
	listener := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		server.ServeHTTP(&countingWriter{ResponseWriter: writer, sent: &sent}, request)
	}))
	defer listener.Close()
	for i := range 1600 {
		server.Put(cluster.Machine{ID: cluster.MachineID(fmt.Sprintf("machine-%04d", i)), Zone: "z"})
	}
	client := platform.NewClient(listener.URL)
	defer client.Close()
	read := func() (int, int64) {
		before := sent.Load()
		list, _, err := client.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return len(list), sent.Load() - before
	}
	if count, bytes := read(); count != 1600 || bytes == 0 {
		t.Fatalf("first read: %d machines in %d bytes", count, bytes)
	}
	if count, bytes := read(); count != 1600 || bytes != 0 {
		t.Fatalf("second read: %d machines in %d bytes, want none sent", count, bytes)
	}
	server.Put(cluster.Machine{ID: "new", Zone: "z"})
	if count, bytes := read(); count != 1601 || bytes == 0 {
		t.Fatalf("after a change: %d machines in %d bytes", count, bytes)
	}
}

// countingWriter counts the bytes of bodies.
type countingWriter struct {
	http.ResponseWriter
	sent *atomic.Int64
}

func (w *countingWriter) Write(data []byte) (int, error) {
	w.sent.Add(int64(len(data)))
	return w.ResponseWriter.Write(data)
}
