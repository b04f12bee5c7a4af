package wire

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestLostDialIsFollowedByParallelDial guards against a power failure after which nodes cannot reach
// each other for a second, so that no node lends tokens. When all machines return within 0.3 s, the
// SYN to a machine without power is lost, and the kernel retransmits it only after a second.
func TestLostDialIsFollowedByParallelDial(t *testing.T) {
	const poweredAfter = 200 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		var open atomic.Int64
		dial := dialInParallel(func(ctx context.Context, _, _ string) (net.Conn, error) {
			if time.Since(began) < poweredAfter {
				select {
				case <-time.After(time.Second):
				case <-ctx.Done():
					return nil, ctx.Err()
				}
			}
			one, other := net.Pipe()
			_ = other.Close()
			open.Add(1)
			return one, nil
		}, parallelDialDelay)
		connection, err := dial(context.Background(), "tcp", "10.0.0.1:7600")
		if err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took != 2*parallelDialDelay {
			t.Errorf("the machine was reached after %v, want %v", took, 2*parallelDialDelay)
		}
		_ = connection.Close()
		synctest.Wait()
		if open.Load() != 1 {
			t.Errorf("%d connections were opened, want 1", open.Load())
		}
	})
}

// TestRefusedDialIsNotRepeated guards against dials that go on although the address refuses
// connections or the timeout has passed.
func TestRefusedDialIsNotRepeated(t *testing.T) {
	refused := errors.New("refused")
	synctest.Test(t, func(t *testing.T) {
		dials, began := 0, time.Now()
		_, err := dialInParallel(func(context.Context, string, string) (net.Conn, error) {
			dials++
			return nil, refused
		}, parallelDialDelay)(context.Background(), "tcp", "10.0.0.1:7600")
		if !errors.Is(err, refused) || dials != 1 || time.Since(began) != 0 {
			t.Errorf("%v after %d dials and %v", err, dials, time.Since(began))
		}
	})
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int64
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := dialInParallel(func(ctx context.Context, _, _ string) (net.Conn, error) {
			dials.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		}, parallelDialDelay)(ctx, "tcp", "10.0.0.1:7600")
		if !errors.Is(err, context.DeadlineExceeded) || dials.Load() != maxParallelDials {
			t.Errorf("%v after %d dials", err, dials.Load())
		}
	})
}
