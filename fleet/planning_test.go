package fleet

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
)

// Guards against a plan that interrupts the streams of the strictest route. Streams of all routes
// share the engines; routes to other services and routes without a longest pause don't count.
func TestLongestPauseIsStrictestOfEngineRoutes(t *testing.T) {
	route := func(name, service string, pause time.Duration) catalog.Route {
		return catalog.Route{
			Name: name, Host: name + ".example", PathPrefix: "/", LongestPause: pause,
			Targets: []catalog.Target{{Service: service, Weight: 1}},
		}
	}
	configuration := catalog.Configuration{
		Routes: []catalog.Route{
			route("chat", "engine", 300*time.Millisecond), route("draft", "engine", 600*time.Millisecond),
			route("batch", "engine", 0), route("feed", "plain", 100*time.Millisecond),
		},
		Services: []catalog.Service{
			{Name: "plain"},
			{Name: "engine", Engine: &catalog.Engine{Slots: 64, MemoryBytes: 100, Models: []catalog.ModelSpec{{Name: "m", Bytes: 40}}}},
		},
	}
	compiled, err := configuration.Compile()
	if err != nil {
		t.Fatal(err)
	}
	if got := strictestLongestPause(compiled); got != 300*time.Millisecond {
		t.Errorf("longest pause %v, want 300ms", got)
	}
}
