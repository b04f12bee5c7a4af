package fault

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/internal/sleep"
	"github.com/valveslip/valveslip/verdict"
)

// Path is the URL path of the fault endpoint that every stand-in serves.
const Path = "/faults"

// activeFault is an injected fault that has not ended. A zero expiresAt means no
// time limit; remainingCount is used only if the order has a Count.
type activeFault struct {
	order          Order
	expiresAt      time.Time
	remainingCount int
}

// Injector holds the active faults of one stand-in. It is safe for concurrent
// use.
type Injector struct {
	mu     sync.Mutex
	random *rand.Rand
	faults map[Kind]*activeFault
	// handleLocal implements the faults of the stand-in itself. It is called for
	// every order and returns false for a kind that it doesn't implement.
	handleLocal func(Order) bool
}

// NewInjector returns an Injector without active faults. seed initializes the
// random numbers that decide on Order.Probability. handleLocal implements the
// faults of the stand-in itself and may be nil.
func NewInjector(seed uint64, handleLocal func(Order) bool) *Injector {
	return &Injector{random: rand.New(rand.NewPCG(seed, seed)), faults: map[Kind]*activeFault{}, handleLocal: handleLocal}
}

// Inject activates a fault, or ends all faults with KindClear. It returns false
// if neither the Injector nor the stand-in implements the kind.
func (i *Injector) Inject(order Order) bool {
	handled := i.handleLocal != nil && i.handleLocal(order)
	i.mu.Lock()
	defer i.mu.Unlock()
	switch order.Kind {
	case KindClear:
		i.faults = map[Kind]*activeFault{}
	case KindDown, KindSlow, KindLoseAnswer, KindRefuse, KindCutStream:
		i.faults[order.Kind] = newActiveFault(order)
	default:
		return handled
	}
	return true
}

// newActiveFault returns the fault with the time limit and count of its order.
func newActiveFault(order Order) *activeFault {
	entry := &activeFault{order: order, remainingCount: order.Count}
	if order.For > 0 {
		entry.expiresAt = time.Now().Add(time.Duration(order.For))
	}
	return entry
}

// Trigger reports whether a fault of the kind applies to the current request,
// by its time limit, Probability and Count, and returns its order. A use counts
// towards Order.Count.
func (i *Injector) Trigger(kind Kind) (Order, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	entry := i.faults[kind]
	if entry == nil {
		return Order{}, false
	}
	if !entry.expiresAt.IsZero() && time.Now().After(entry.expiresAt) {
		delete(i.faults, kind)
		return Order{}, false
	}
	if entry.order.Probability > 0 && i.random.Float64() >= entry.order.Probability {
		return Order{}, false
	}
	if entry.order.Count > 0 {
		entry.remainingCount--
		if entry.remainingCount <= 0 {
			delete(i.faults, kind)
		}
	}
	return entry.order, true
}

// hasNoFaults reports whether no fault is active.
func (i *Injector) hasNoFaults() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.faults) == 0
}

// Wrap returns a handler that serves the fault endpoint and applies the active
// faults to every other request before it reaches next.
func (i *Injector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		switch {
		case request.URL.Path == Path:
			i.serveInjection(writer, request)
		case i.hasNoFaults():
			next.ServeHTTP(writer, request)
		default:
			i.applyFaults(next, writer, request)
		}
	})
}

// applyFaults serves one request under the active faults. A panic with
// http.ErrAbortHandler closes the connection without a response.
func (i *Injector) applyFaults(next http.Handler, writer http.ResponseWriter, request *http.Request) {
	if _, down := i.Trigger(KindDown); down {
		panic(http.ErrAbortHandler)
	}
	if order, slow := i.Trigger(KindSlow); slow {
		sleep.For(request.Context(), time.Duration(order.Delay))
	}
	if _, refuse := i.Trigger(KindRefuse); refuse {
		writer.Header().Set("Retry-After", "1")
		writer.Header().Set(engine.HeaderVerdict, verdict.NotRun.String())
		for _, name := range []string{engine.HeaderRequestID, engine.HeaderAttempt} {
			writer.Header().Set(name, request.Header.Get(name))
		}
		http.Error(writer, `{"error":"refused","code":8,"message":"refused"}`, http.StatusTooManyRequests)
		return
	}
	if _, lose := i.Trigger(KindLoseAnswer); lose {
		next.ServeHTTP(&discardedResponse{header: http.Header{}}, request)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(writer, request)
}

// discardedResponse is an http.ResponseWriter that discards the response.
type discardedResponse struct{ header http.Header }

func (l *discardedResponse) Header() http.Header            { return l.header }
func (l *discardedResponse) Write(data []byte) (int, error) { return len(data), nil }
func (l *discardedResponse) WriteHeader(int)                {}

// serveInjection serves the fault endpoint: POST with an Order as JSON.
func (i *Injector) serveInjection(writer http.ResponseWriter, request *http.Request) {
	var order Order
	if request.Method != http.MethodPost {
		http.Error(writer, "POST only", http.StatusMethodNotAllowed)
		return
	}
	if err := json.NewDecoder(http.MaxBytesReader(writer, request.Body, 1<<16)).Decode(&order); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	if !i.Inject(order) {
		http.Error(writer, "unknown fault kind", http.StatusBadRequest)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
