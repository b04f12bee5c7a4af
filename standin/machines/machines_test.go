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

// The list must show additions, the leaving mark and the removal only after the
// lag, and keep its contents while it is frozen.
func TestListShowsChangesAfterLagAndRemovesReclaimedMachines(t *testing.T) {
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

// An engine drains before its machine is removed only if the list forwards the
// reclaim fault to it.
func TestReclaimFaultIsForwardedToEngine(t *testing.T) {
	receivedPath := make(chan string, 1)
	engine := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, request *http.Request) { receivedPath <- request.URL.Path }))
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
	if path := <-receivedPath; path != fault.Path {
		t.Fatalf("engine got %s", path)
	}
	client := platform.NewClient(listener.URL)
	defer client.Close()
	list, _, err := client.List(context.Background())
	if err != nil || len(list) != 1 || !list[0].Leaving {
		t.Fatalf("list %+v, %v", list, err)
	}
}

// Polling a list of 1,600 machines must cost no body while the list is unchanged
// (304 by ETag), and must still return the whole list after a change.
func TestUnchangedListIsAnsweredWithoutBody(t *testing.T) {
	server := machines.NewServer(0, 1)
	var bytesWritten atomic.Int64
	listener := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		server.ServeHTTP(&countingWriter{ResponseWriter: writer, bytesWritten: &bytesWritten}, request)
	}))
	defer listener.Close()
	for i := range 1600 {
		server.Put(cluster.Machine{ID: cluster.MachineID(fmt.Sprintf("machine-%04d", i)), Zone: "z"})
	}
	client := platform.NewClient(listener.URL)
	defer client.Close()
	read := func() (int, int64) {
		before := bytesWritten.Load()
		list, _, err := client.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return len(list), bytesWritten.Load() - before
	}
	if count, size := read(); count != 1600 || size == 0 {
		t.Fatalf("first read: %d machines in %d bytes", count, size)
	}
	if count, size := read(); count != 1600 || size != 0 {
		t.Fatalf("second read: %d machines in %d bytes, want none sent", count, size)
	}
	server.Put(cluster.Machine{ID: "new", Zone: "z"})
	if count, size := read(); count != 1601 || size == 0 {
		t.Fatalf("after a change: %d machines in %d bytes", count, size)
	}
}

// countingWriter counts the bytes of response bodies.
type countingWriter struct {
	http.ResponseWriter
	bytesWritten *atomic.Int64
}

func (w *countingWriter) Write(data []byte) (int, error) {
	w.bytesWritten.Add(int64(len(data)))
	return w.ResponseWriter.Write(data)
}
