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

// deadlineDialect reads only the deadline of the caller.
type deadlineDialect struct{ testDialect }

func (deadlineDialect) ReadCaller(header http.Header) Attributes {
	deadline, _ := time.ParseDuration(header.Get("Deadline"))
	return Attributes{Deadline: deadline}
}

// TestCallersWaitForFirstConfiguration: after all nodes had lost power, 39 and 47 callers of a
// simulated day were refused in the 150 ms between the first connection and the first read of the
// store. Some of them could retry only once and were then refused for another reason. Callers must
// wait for the configuration, for a bounded time.
func TestCallersWaitForFirstConfiguration(t *testing.T) {
	compiled, err := catalog.Configuration{}.Compile()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		deadline string
		// after is when the configuration becomes known, ended when the caller gets an answer.
		after, ended time.Duration
		status       int
	}{
		{"configuration becomes known", "", 150 * time.Millisecond, 150 * time.Millisecond, http.StatusNotFound},
		{"configuration stays unknown", "", time.Second, maxStartWait, http.StatusServiceUnavailable},
		{"caller has a short deadline", "400ms", time.Second, 100 * time.Millisecond, http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			var known atomic.Pointer[catalog.Compiled]
			came := make(chan struct{})
			h := NewHandler(Config{Dialect: deadlineDialect{}, Catalog: known.Load, CatalogReady: came})
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

// TestRetryAfterGrowsWithStartDuration: before the first configuration, Retry-After is the
// duration of the start so far, within bounds. When nodes read 30,000 entries after a power loss,
// 67 of 142 requests in two seconds were refused, most of them twice, because each was told to
// retry after 0.3 s.
func TestRetryAfterGrowsWithStartDuration(t *testing.T) {
	for after, want := range map[time.Duration]time.Duration{
		0: minStartRetry, 700 * time.Millisecond: time.Second, time.Minute: maxStartRetry,
	} {
		synctest.Test(t, func(t *testing.T) {
			h := NewHandler(Config{Dialect: deadlineDialect{}, Catalog: func() *catalog.Compiled { return nil }, CatalogReady: make(chan struct{})})
			time.Sleep(after)
			recorder := httptest.NewRecorder()
			h.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://h/r/", nil))
			seconds, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
			if got := time.Duration(seconds * float64(time.Second)); err != nil || got < want-time.Millisecond || got > want+time.Millisecond {
				t.Errorf("start took %s: Retry-After %q, want %s", after, recorder.Header().Get("Retry-After"), want)
			}
		})
	}
}

// TestStartWaitersAreBounded: a flood of callers before the first configuration takes a bounded
// amount of memory. Callers above the bound are refused at once.
func TestStartWaitersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := NewHandler(Config{
			Dialect: deadlineDialect{}, Catalog: func() *catalog.Compiled { return nil }, CatalogReady: make(chan struct{}),
		})
		var waited, atOnce atomic.Int64
		var callers sync.WaitGroup
		for range maxStartWaiters + 20 {
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
		if waited.Load() != maxStartWaiters || atOnce.Load() != 20 {
			t.Errorf("%d callers waited and %d were refused at once", waited.Load(), atOnce.Load())
		}
	})
}
