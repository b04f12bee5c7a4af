package weights_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/valveslip/valveslip/standin/fault"
	"github.com/valveslip/valveslip/standin/weights"
	platform "github.com/valveslip/valveslip/weights"
)

var epoch = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// mustStart starts a load and fails the test if the store refuses it.
func mustStart(t *testing.T, state *weights.State, now time.Time, id string, bytes int64) {
	t.Helper()
	if _, ok := state.Start(now, id, bytes); !ok {
		t.Fatalf("load %s refused", id)
	}
}

// Loads beyond the concurrency limit must share the total bandwidth, and speed
// up when another load finishes.
func TestLoadsBeyondConcurrencyShareBandwidth(t *testing.T) {
	state := weights.NewState(weights.Config{Concurrency: 2, BytesPerSecond: 100})
	for _, id := range []string{"a", "b", "c", "d"} {
		mustStart(t, state, at(0), id, 100)
	}
	mustStart(t, state, at(0), "small", 25)
	// Five loads share the bandwidth of two: 40 bytes per second each.
	if speed := state.Status(at(0)).Speed; speed != 0.4 {
		t.Fatalf("speed %v", speed)
	}
	if done := state.Advance(at(0.626)); fmt.Sprint(done) != "[small]" {
		t.Fatalf("done %v", done)
	}
	// The other four share it then: 75 bytes remain at 50 bytes per second.
	if done := state.Advance(at(2.12)); len(done) != 0 {
		t.Fatalf("done early %v", done)
	}
	if done := state.Advance(at(2.126)); fmt.Sprint(done) != "[a b c d]" {
		t.Fatalf("done %v", done)
	}
	if state.Peak() != 5 {
		t.Fatalf("peak %d", state.Peak())
	}
}

// A start beyond the burst must be refused with the time until the next start
// token, and must succeed after that time.
func TestStartBeyondRateIsRefusedWithRetryDelay(t *testing.T) {
	state := weights.NewState(weights.Config{StartsPerSecond: 2, BytesPerSecond: 1})
	mustStart(t, state, at(0), "a", 10)
	mustStart(t, state, at(0), "b", 10)
	wait, ok := state.Start(at(0), "c", 10)
	if ok || wait != 500*time.Millisecond {
		t.Fatalf("third start: %v, wait %v", ok, wait)
	}
	mustStart(t, state, at(0).Add(wait), "c", 10)
}

// A change of the transfer rate must apply to loads that are running, an aborted
// load must not finish, and at speed zero no finish may be announced.
func TestSpeedChangeAndAbortAdjustFinishTimes(t *testing.T) {
	state := weights.NewState(weights.Config{BytesPerSecond: 100})
	mustStart(t, state, at(0), "a", 100)
	mustStart(t, state, at(0), "b", 100)
	state.SetSpeed(at(0.5), 0.1)
	state.Abort(at(0.5), "b")
	if done := state.Advance(at(5.4)); len(done) != 0 {
		t.Fatalf("done early %v", done)
	}
	if next, ok := state.Next(); !ok || next.Sub(at(5.5)).Abs() > time.Microsecond {
		t.Fatalf("next %v", next.Sub(epoch))
	}
	if done := state.Advance(at(5.51)); fmt.Sprint(done) != "[a]" {
		t.Fatalf("done %v", done)
	}
	state.SetSpeed(at(6), 0)
	mustStart(t, state, at(6), "c", 1)
	if _, ok := state.Next(); ok {
		t.Fatal("a stopped store finishes something")
	}
}

// The client must retry starts that the store refuses, and cancelling a fetch
// must abort its load in the store; otherwise the load would keep its share of
// the bandwidth.
func TestFetchRetriesRefusedStartsAndAbortsOnCancel(t *testing.T) {
	server := weights.NewServer(weights.Config{StartsPerSecond: 50, BytesPerSecond: 1e9}, 1)
	listener := httptest.NewServer(server)
	defer listener.Close()
	client, reader := weights.NewClient(listener.URL), platform.NewClient(listener.URL)
	defer reader.Close()
	for i := range 60 { // ten more than the burst of 50 starts
		if err := client.Fetch(context.Background(), weights.LoadRequest{ID: fmt.Sprint(i), Bytes: 1000}); err != nil {
			t.Fatal(err)
		}
	}
	server.Inject(fault.Order{Kind: fault.KindSlow, Speed: 0.25})
	status, err := reader.Status(context.Background())
	if err != nil || status != (platform.Status{StartsPerSecond: 50, Speed: 0.25}) {
		t.Fatalf("status %+v, %v", status, err)
	}
	server.Inject(fault.Order{Kind: fault.KindSlow, Speed: 0})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- client.Fetch(ctx, weights.LoadRequest{ID: "stuck", Bytes: 1000}) }()
	for active := 0; active == 0; {
		status, err := reader.Status(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		active = status.Active
	}
	cancel()
	if err := <-ended; err == nil {
		t.Fatal("a cancelled fetch succeeded")
	}
	for active := 1; active != 0; { // wait until the store has aborted the load
		status, err := reader.Status(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		active = status.Active
	}
}
