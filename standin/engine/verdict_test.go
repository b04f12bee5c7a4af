package engine_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/valveslip/valveslip/engine"
	standin "github.com/valveslip/valveslip/standin/engine"
	"github.com/valveslip/valveslip/standin/fault"
	"github.com/valveslip/valveslip/verdict"
)

// A call that is reported as not run gets retried, so it must not have run, not
// even after the error was returned. The engine drops connections, refuses calls
// and loses answers, and callers time out at random moments.
func TestCallsReportedAsNotRunDidNotRun(t *testing.T) {
	ledger := standin.NewLedger()
	server, address := startServer(t, standin.ServerConfig{Engine: standin.Config{Slots: 4, QueueLength: 4, Recorder: ledger}})
	caller := newClient(t)
	loadReplica(t, caller, address, "m", 10)
	for _, kind := range []fault.Kind{fault.KindDown, fault.KindLoseAnswer, fault.KindRefuse} {
		server.Inject(fault.Order{Kind: kind, Probability: 0.1})
	}
	random := rand.New(rand.NewPCG(1, 1))
	verdicts := make([]verdict.Verdict, 2000)
	var calls errgroup.Group
	calls.SetLimit(32)
	for i := range verdicts {
		callTimeout := time.Duration(random.IntN(3000)) * time.Microsecond
		calls.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
			defer cancel()
			answer, err := caller.Run(ctx, chatCall(address, fmt.Sprint(i), 1, false))
			if err != nil {
				verdicts[i] = verdict.Of(err)
				return nil
			}
			verdicts[i] = verdict.Ran
			return answer.Body.Close()
		})
	}
	if err := calls.Wait(); err != nil {
		t.Fatal(err)
	}
	caller.Close()
	if err := server.Close(context.Background()); err != nil { // every handler has ended
		t.Fatal(err)
	}
	counts := map[verdict.Verdict]int{}
	for i, stated := range verdicts {
		counts[stated]++
		prompt := engine.ChatPrompt([]engine.Message{{Role: "user", Content: fmt.Sprint(i)}})
		if runs := ledger.Runs(standin.Seed("m", prompt)); stated == verdict.NotRun && runs != 0 || runs > 1 {
			t.Errorf("call %d: verdict %s, %d runs", i, stated, runs)
		}
	}
	if counts[verdict.NotRun] == 0 {
		t.Errorf("no call was refused: %v", counts)
	}
}

// The kernel accepts the connection into the listener's backlog, but the caller
// cancels before it writes the request. Such a call has not run.
func TestCallCancelledBeforeWriteIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = newClient(t).Run(ctx, chatCall(listener.Addr().String(), "r", 1, false))
	if verdict.Of(err) != verdict.NotRun {
		t.Errorf("%v", err)
	}
}
