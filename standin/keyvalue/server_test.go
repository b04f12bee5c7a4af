package keyvalue_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/standin/fault"
	standin "github.com/valveslip/valveslip/standin/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

// startServer serves an empty store on a port that the kernel chooses and
// returns it with a client.
func startServer(t *testing.T, config standin.Config) (*standin.Server, *keyvalue.Client) {
	t.Helper()
	server := standin.NewServer(config, 1)
	listener := httptest.NewServer(server)
	client := keyvalue.NewClient(listener.URL)
	t.Cleanup(func() {
		client.Close()
		listener.CloseClientConnections()
		listener.Close()
		server.Close()
	})
	return server, client
}

// compareAndPut writes a key if its mod revision is expect, and reads it if not.
func compareAndPut(t *testing.T, client *keyvalue.Client, key, value string, expect keyvalue.Revision) keyvalue.TransactionResult {
	t.Helper()
	result, err := client.Txn(context.Background(), keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: key, ModRevision: expect}},
		Operations: []keyvalue.Operation{{Key: key, Value: []byte(value)}},
		Reads:      []string{key},
	})
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// Lost updates are prevented only if a write with an old mod revision fails and
// returns the current value.
func TestCompareAndSwapFailsOnStaleRevision(t *testing.T) {
	_, client := startServer(t, standin.Config{})
	first := compareAndPut(t, client, "/a", "one", 0)
	if !first.Succeeded {
		t.Fatal("create of an absent key failed")
	}
	second := compareAndPut(t, client, "/a", "two", 0)
	if second.Succeeded || len(second.Found) != 1 || string(second.Found[0].Value) != "one" {
		t.Fatalf("stale compare: %+v", second)
	}
	third := compareAndPut(t, client, "/a", "two", first.Revision)
	if !third.Succeeded || third.Revision != first.Revision+1 {
		t.Fatalf("swap: %+v", third)
	}
	pairs, revision, err := client.Range(context.Background(), "/")
	if err != nil || len(pairs) != 1 || pairs[0].Version != 2 || revision != third.Revision {
		t.Fatalf("range: %+v at %d, %v", pairs, revision, err)
	}
}

// If the response is lost after the write, the client can't know the outcome. It
// must report that the request may have run.
func TestLostAnswerIsReportedAsMayHaveRun(t *testing.T) {
	server, client := startServer(t, standin.Config{})
	server.Inject(fault.Order{Kind: fault.KindLoseAnswer, Count: 1})
	_, err := client.Txn(context.Background(), keyvalue.Transaction{Operations: []keyvalue.Operation{{Key: "/a", Value: []byte("v")}}})
	if err == nil || verdict.Of(err) != verdict.MayHaveRun {
		t.Fatalf("lost answer: %v", err)
	}
	pairs, _, err := client.Range(context.Background(), "/a")
	if err != nil || len(pairs) != 1 {
		t.Fatalf("effect of the lost answer: %+v, %v", pairs, err)
	}
}

// A request that the rate limit or a fault refuses, or that finds no listener,
// must be reported as not run, so that the caller may retry it.
func TestRefusedRequestsAreReportedAsNotRun(t *testing.T) {
	server, client := startServer(t, standin.Config{RequestsPerSecond: 1e-9, Burst: 1})
	if _, err := client.Grant(context.Background(), time.Second); err != nil {
		t.Fatal(err)
	}
	if _, err := client.Grant(context.Background(), time.Second); verdict.Of(err) != verdict.NotRun || verdict.CodeOf(err) != verdict.CodeRequestRateLimit {
		t.Fatalf("rate limit: %v", err)
	}
	server.Inject(fault.Order{Kind: fault.KindRefuse, Count: 1})
	if _, _, err := client.Range(context.Background(), "/"); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("refusal: %v", err)
	}
	unreachable := keyvalue.NewClient("http://127.0.0.1:1")
	if _, _, err := unreachable.Range(context.Background(), "/"); verdict.Of(err) != verdict.NotRun {
		t.Fatalf("dial refused: %v", err)
	}
}

// An outage ends the watch. A new watch from the revision after the last batch
// must deliver the changes made in between exactly once and in order.
func TestWatchResumesAfterOutageWithoutLossOrRepeat(t *testing.T) {
	server, client := startServer(t, standin.Config{})
	first := compareAndPut(t, client, "/a", "1", 0)
	seen := make(chan keyvalue.WatchBatch, 16)
	ended := make(chan error, 1)
	watch := func(ctx context.Context, from keyvalue.Revision) {
		ended <- client.Watch(ctx, "/", from, func(batch keyvalue.WatchBatch) {
			if len(batch.Events) > 0 {
				seen <- batch
			}
		})
	}
	go watch(context.Background(), 1)
	batch := <-seen
	if batch.Revision != first.Revision || string(batch.Events[0].KeyValue.Value) != "1" {
		t.Fatalf("first batch %+v", batch)
	}
	server.Inject(fault.Order{Kind: fault.KindDown})
	server.Do(func(now time.Time, state *standin.State) {
		_, _ = state.Txn(now, keyvalue.Transaction{Operations: []keyvalue.Operation{{Key: "/a", Value: []byte("2")}}})
	})
	if err := <-ended; verdict.Of(err) != verdict.NotRun {
		t.Fatalf("end of the broken watch: %v", err)
	}
	server.Inject(fault.Order{Kind: fault.KindClear})
	ctx, cancel := context.WithCancel(context.Background())
	go watch(ctx, batch.Revision+1)
	if batch := <-seen; len(batch.Events) != 1 || string(batch.Events[0].KeyValue.Value) != "2" {
		t.Fatalf("batch after resuming: %+v", batch)
	}
	cancel()
	if err := <-ended; err != context.Canceled {
		t.Fatalf("end of the cancelled watch: %v", err)
	}
}

// A watch from a compacted revision would miss events. It must report the
// compaction and the revision from which events are available.
func TestWatchFromCompactedRevisionReportsCompaction(t *testing.T) {
	server, client := startServer(t, standin.Config{})
	last := compareAndPut(t, client, "/a", "1", 0)
	server.Do(func(_ time.Time, state *standin.State) { state.Compact(last.Revision) })
	var got keyvalue.WatchBatch
	err := client.Watch(context.Background(), "/", 1, func(batch keyvalue.WatchBatch) { got = batch })
	if err != nil || !got.Compacted || got.Revision != last.Revision {
		t.Fatalf("%+v, %v", got, err)
	}
}

// The gateway has whole seconds, so a TTL is rounded up. A keep-alive after the
// lease ended must fail with ErrLeaseNotFound instead of returning TTL zero.
func TestRevokedLeaseIsNotFoundOverGateway(t *testing.T) {
	_, client := startServer(t, standin.Config{})
	lease, err := client.Grant(context.Background(), 1500*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	if ttl, err := client.KeepAlive(context.Background(), lease); err != nil || ttl != 2*time.Second {
		t.Fatalf("keep-alive: %v, %v", ttl, err)
	}
	if err := client.Revoke(context.Background(), lease); err != nil {
		t.Fatal(err)
	}
	if _, err := client.KeepAlive(context.Background(), lease); !errors.Is(err, keyvalue.ErrLeaseNotFound) || verdict.Of(err) != verdict.NotRun {
		t.Fatalf("keep-alive after revoking: %v", err)
	}
	if err := client.Revoke(context.Background(), lease); !errors.Is(err, keyvalue.ErrLeaseNotFound) {
		t.Fatalf("second revoke: %v", err)
	}
}
