package passthrough

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/valveslip/valveslip/catalog"
)

// deadlineDialect reads a caller's deadline.
type deadlineDialect struct{ testDialect }

func (deadlineDialect) ReadCaller(header http.Header) Attributes {
	deadline, _ := time.ParseDuration(header.Get("Deadline"))
	return Attributes{Deadline: deadline}
}

// TestCallersWaitForTheFirstConfiguration: after all nodes lost power, 39 and 47 callers of a
// day were sent back in the 150 ms between the first connection and the first reading of the
// store; some could come back once only, and were refused then for other causes. They wait
// for the configuration now, for a bounded time.
func TestCallersWaitForTheFirstConfiguration(t *testing.T) {
	compiled, err := catalog.Configuration{}.Compile()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		deadline string
		// after is when the configuration becomes known, ended when the caller has an answer.
		after, ended time.Duration
		status       int
	}{
		{"it becomes known", "", 150 * time.Millisecond, 150 * time.Millisecond, http.StatusNotFound},
		{"it does not", "", time.Second, longestStartWait, http.StatusServiceUnavailable},
		{"the caller has little time", "400ms", time.Second, 100 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			var known atomic.Pointer[catalog.Compiled]
			came := make(chan struct{})
			h := NewHandler(Config{Dialect: deadlineDialect{}, Catalog: known.Load, Known: came})
			time.AfterFunc(c.after, func() {
				known.Store(compiled)
				close(came)
			})
			began, recorder := time.Now(), httptest.NewRecorder()
			request := httptest.NewRequest(http.MethodGet, "http://h/r/", nil)
			request.Header.Set("Deadline", c.deadline)
			h.ServeHTTP(recorder, request)
			if took := time.Since(began); recorder.Code != c.status || took != c.ended {
				t.Errorf("%s: status %d after %v, want %d after %v", c.name, recorder.Code, took, c.status, c.ended)
			}
			time.Sleep(c.after)
		})
	}
}

// TestLongStartSendsCallersBackForLonger: a caller who comes before the first configuration is
// told to come back after as long as the start has lasted, within bounds. When nodes read
// 30,000 entries after a loss of power, of 142 requests in two seconds 67 were refused, most
// of them twice: each had been told 0.3 s.
func TestLongStartSendsCallersBackForLonger(t *testing.T) {
	for after, told := range map[time.Duration]time.Duration{
		0: leastStartRetry, 700 * time.Millisecond: time.Second, time.Minute: longestStartRetry,
	} {
		synctest.Test(t, func(t *testing.T) {
			h := NewHandler(Config{Dialect: deadlineDialect{}, Catalog: func() *catalog.Compiled { return nil }, Known: make(chan struct{})})
			time.Sleep(after)
			recorder := httptest.NewRecorder()
			h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://h/r/", nil))
			seconds, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
			if got := time.Duration(seconds * float64(time.Second)); err != nil || got < told-time.Millisecond || got > told+time.Millisecond {
				t.Errorf("after %s: told %q, want %s", after, recorder.Header().Get("Retry-After"), told)
			}
		})
	}
}

// TestFewCallersWaitForTheFirstConfiguration: a flood in the first moments takes a bounded
// part of the memory; the callers beyond it are sent back at once.
func TestFewCallersWaitForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHandler(Config{
			Dialect: deadlineDialect{}, Catalog: func() *catalog.Compiled { return nil }, Known: make(chan struct{}),
		})
		var waited, atOnce atomic.Int64
		var callers sync.WaitGroup
		for range mostStartWaits + 20 {
			callers.Go(func() {
				began := time.Now()
				h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://h/r/", nil))
				if time.Since(began) == 0 {
					atOnce.Add(1)
				} else {
					waited.Add(1)
				}
			})
		}
		callers.Wait()
		if waited.Load() != mostStartWaits || atOnce.Load() != 20 {
			t.Errorf("%d waited, %d were sent back at once", waited.Load(), atOnce.Load())
		}
	})
}
