package engine_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	standin "github.com/valveslip/valveslip/standin/engine"
	"github.com/valveslip/valveslip/standin/fault"
	"github.com/valveslip/valveslip/verdict"
)

const machine = cluster.MachineID("m1")

// startServer serves an engine on a port that the kernel chooses.
func startServer(t testing.TB, config standin.ServerConfig) (*standin.Server, string) {
	t.Helper()
	config.Engine.Machine = machine
	config.Engine.MemoryBytes = 100
	config.Engine.Accelerators = 1
	server := standin.NewServer(config)
	address, err := server.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Kill)
	return server, address
}

func newClient(t testing.TB) *engine.Client {
	client := engine.NewClient()
	t.Cleanup(client.Close)
	return client
}

// loadReplica seals the engine with token 5 and orders a model, which takes no
// time to load.
func loadReplica(t testing.TB, control *engine.Client, address string, model cluster.ModelID, bytes int64) cluster.Inventory {
	t.Helper()
	sealed, err := control.Seal(context.Background(), address, 5)
	if err != nil {
		t.Fatal(err)
	}
	inventory, err := control.Order(context.Background(), address, cluster.Order{
		ID: "load-" + string(model), Token: 5, Epoch: sealed.Epoch, Machine: machine, Kind: cluster.OrderLoad, Model: model, Version: "1", Bytes: bytes,
	})
	if err != nil {
		t.Fatal(err)
	}
	return inventory
}

func chatCall(address, id string, tokens int, stream bool) engine.Call {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":"%s"}],"max_tokens":%d,"stream":%v}`, id, tokens, stream)
	return engine.Call{Request: cluster.RequestID(id), Attempt: 1, Address: address, Path: "/v1/chat/completions", Body: []byte(body)}
}

// wantedAnswer returns the expected text of the answer to chatCall.
func wantedAnswer(id string, tokens int) string {
	return standin.AnswerText("m", engine.ChatPrompt([]engine.Message{{Role: "user", Content: id}}), tokens)
}

// parseStream returns the text of a stream and reports whether it has the end
// marker.
func parseStream(t testing.TB, body string) (string, bool) {
	t.Helper()
	var text strings.Builder
	lines := bufio.NewScanner(strings.NewReader(body))
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			t.Fatalf("chunk %q: %v", data, err)
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String(), false
}

// Callers check an answer by its text, so the engine must return the complete
// text for the request's own prompt, streamed or not.
func TestAnswersAreCompleteAndMatchTheirRequest(t *testing.T) {
	_, address := startServer(t, standin.ServerConfig{})
	control := newClient(t)
	loadReplica(t, control, address, "m", 10)
	for _, stream := range []bool{false, true} {
		id := fmt.Sprintf("r-%v", stream)
		answer, err := control.Run(context.Background(), chatCall(address, id, 40, stream))
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if stream {
			if text, whole := parseStream(t, string(body)); !whole || text != wantedAnswer(id, 40) {
				t.Fatalf("stream: whole %v, text %q", whole, text)
			}
		} else if !strings.Contains(string(body), wantedAnswer(id, 40)) {
			t.Fatalf("answer %s", body)
		}
	}
}

// A caller whose stream is cut must get the remaining bytes from any offset, and
// resuming must not run the request again.
func TestResumeAfterCutContinuesWithoutSecondRun(t *testing.T) {
	server, address := startServer(t, standin.ServerConfig{})
	control := newClient(t)
	loadReplica(t, control, address, "m", 10)
	server.Inject(fault.Order{Kind: fault.KindCutStream, Count: 1, Tokens: 7})
	cut := chatCall(address, "r", 30, true)
	answer, err := control.Run(context.Background(), cut)
	if err != nil {
		t.Fatal(err)
	}
	first, err := io.ReadAll(answer.Body)
	if err == nil {
		t.Fatal("the cut stream ended cleanly")
	}
	for _, drop := range []int{0, 1, 50, len(first)} {
		rest, err := control.Resume(context.Background(), cut, int64(len(first)-drop))
		if err != nil {
			t.Fatal(err)
		}
		second, err := io.ReadAll(rest.Body)
		if err != nil {
			t.Fatal(err)
		}
		text, whole := parseStream(t, string(first[:len(first)-drop])+string(second))
		if !whole || text != wantedAnswer("r", 30) {
			t.Fatalf("resumed with %d bytes less: whole %v, text %q", drop, whole, text)
		}
	}
	if runs := server.Counters().Runs; runs != 1 {
		t.Fatalf("%d runs", runs)
	}
}

// A call for a missing model or to a closed port did nothing and must be reported
// as not run, so that it can be retried elsewhere.
func TestRefusedCallsAreReportedAsNotRun(t *testing.T) {
	_, address := startServer(t, standin.ServerConfig{})
	control := newClient(t)
	_, err := control.Run(context.Background(), chatCall(address, "r", 3, false))
	if verdict.Of(err) != verdict.NotRun || !errors.Is(err, engine.ErrModelMissing) {
		t.Fatalf("model missing: %v", err)
	}
	_, err = control.Run(context.Background(), chatCall("127.0.0.1:1", "r", 3, false))
	if verdict.Of(err) != verdict.NotRun {
		t.Fatalf("dial refused: %v", err)
	}
}

// After a newer controller sealed the engine, an order with the older token must
// fail and leave the replicas unchanged.
func TestStaleOrderIsRefusedWithoutEffect(t *testing.T) {
	_, address := startServer(t, standin.ServerConfig{})
	control := newClient(t)
	loadReplica(t, control, address, "m", 10)
	if _, err := control.Seal(context.Background(), address, 9); err != nil {
		t.Fatal(err)
	}
	_, err := control.Order(context.Background(), address, cluster.Order{ID: "late", Token: 5, Machine: machine, Kind: cluster.OrderUnload, Model: "m"})
	var stale *engine.StaleTokenError
	if !errors.As(err, &stale) || stale.Held != 9 {
		t.Fatalf("stale order: %v", err)
	}
	inventory, err := control.Inventory(context.Background(), address)
	if err != nil || inventory.Token != 9 || len(inventory.Replicas) != 1 || inventory.Replicas[0].State != cluster.ReplicaLoaded {
		t.Fatalf("inventory after a stale order: %+v, %v", inventory, err)
	}
}

// Checks find overcommitted machines by the counter, so a load beyond the memory
// must be executed and counted once, also if its order is repeated.
func TestOvercommitIsCountedNotRefused(t *testing.T) {
	server, address := startServer(t, standin.ServerConfig{})
	control := newClient(t)
	loadReplica(t, control, address, "a", 60)
	if count := server.Counters().Overcommitted; count != 0 {
		t.Fatalf("%d before", count)
	}
	loadReplica(t, control, address, "b", 60)
	inventory := loadReplica(t, control, address, "b", 60) // the same order again
	if count := server.Counters().Overcommitted; count != 1 || inventory.UsedBytes() != 120 {
		t.Fatalf("%d after, %d bytes", count, inventory.UsedBytes())
	}
}

// An engine that crashes during a load must restart without replicas, with the
// same fencing token and a later epoch.
func TestCrashDuringLoadRestartsEmptyWithLaterEpoch(t *testing.T) {
	fetching := make(chan struct{})
	server, address := startServer(t, standin.ServerConfig{
		RestartAfter: time.Millisecond,
		Fetch: func(ctx context.Context, _ standin.Fetch) error {
			close(fetching)
			<-ctx.Done()
			return ctx.Err()
		},
	})
	control := newClient(t)
	server.Inject(fault.Order{Kind: fault.KindDieMidLoad})
	before := loadReplica(t, control, address, "m", 10)
	<-fetching
	for {
		after, err := control.Inventory(context.Background(), address)
		if err != nil || after.Epoch == before.Epoch {
			continue // the engine has not crashed yet or is down
		}
		if len(after.Replicas) != 0 || after.Token != before.Token || after.Epoch < before.Epoch {
			t.Fatalf("after %+v, before %+v", after, before)
		}
		return
	}
}

// Cached prefixes must move to another engine only for a loaded model and version
// and under the current token of both engines; the cache of another version would
// give wrong answers.
func TestKVCacheMovesOnlyUnderCurrentTokenAndVersion(t *testing.T) {
	config := standin.ServerConfig{Engine: standin.Config{PrefixBlocks: 100}}
	_, from := startServer(t, config)
	to, target := startServer(t, config)
	control, ctx := newClient(t), context.Background()
	loadReplica(t, control, from, "m", 10)
	loadReplica(t, control, target, "m", 10)
	long := chatCall(from, strings.Repeat("x", 3*engine.PrefixBlockBytes), 1, false)
	if answer, err := control.Run(ctx, long); err != nil || answer.Body.Close() != nil {
		t.Fatal(err)
	}
	cache := engine.KVCache{Model: "m", Version: "1", Token: 5}
	cachedPrefixes := func() (prefixes []uint64) {
		to.Do(func(now time.Time, state *standin.State) { prefixes, _ = state.ExportKV(now, cache) })
		return prefixes
	}
	stale, other, absent := cache, cache, cache
	stale.Token, other.Version, absent.Model = 4, "2", "n"
	for _, wrong := range []engine.KVCache{stale, other, absent} {
		if err := control.MoveKV(ctx, from, target, wrong); err == nil || len(cachedPrefixes()) != 0 {
			t.Fatalf("%+v was moved: %v", wrong, err)
		}
	}
	if _, err := control.Seal(ctx, target, 6); err != nil {
		t.Fatal(err)
	}
	if err := control.MoveKV(ctx, from, target, cache); err == nil {
		t.Fatal("a controller with a stale token moved a cache to a machine sealed with a newer one")
	}
	if _, err := control.Seal(ctx, from, 6); err != nil {
		t.Fatal(err)
	}
	cache.Token = 6
	if err := control.MoveKV(ctx, from, target, cache); err != nil || len(cachedPrefixes()) != 3 {
		t.Fatalf("%d prefixes moved: %v", len(cachedPrefixes()), err)
	}
}

// Cancelling must end a running attempt and cut its stream; otherwise the attempt
// would keep its slot. Cancelling an unknown attempt is not an error.
func TestCancelEndsRunningAttemptAsFailed(t *testing.T) {
	server, address := startServer(t, standin.ServerConfig{Engine: standin.Config{StepTime: time.Hour}})
	control, ctx := newClient(t), context.Background()
	loadReplica(t, control, address, "m", 10)
	running := chatCall(address, "r", 5, true)
	answer, err := control.Run(ctx, running)
	if err != nil {
		t.Fatal(err)
	}
	if err := control.Cancel(ctx, running); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadAll(answer.Body); err == nil {
		t.Fatal("the cancelled stream ended without an error")
	}
	server.Do(func(now time.Time, state *standin.State) {
		if view := state.View(now, standin.Key{Request: "r", Attempt: 1}); view.Status != standin.StatusFailed {
			t.Errorf("%+v", view)
		}
	})
	unknown := chatCall(address, "unknown", 5, true)
	if err := control.Cancel(ctx, unknown); err != nil {
		t.Fatalf("cancel of an unknown attempt: %v", err)
	}
}
