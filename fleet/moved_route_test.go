package fleet

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/routing"
)

// TestStreamOfMovedRouteIsNotJoined guards against a stream whose route was moved to another service while it ran: once
// the node that relayed it has ended, another one takes the single release of the new service for that of the stream.
func TestStreamOfMovedRouteIsNotJoined(t *testing.T) {
	now := time.Unix(1000, 0)
	core := New(Config{Self: NodeEntry{ID: "n1"}, Zone: "z", Regions: map[cluster.ZoneID]cluster.RegionID{"z": "r"}}, 1)
	configure := func(version int64, service string) {
		compiled, err := catalog.Configuration{
			Version: version, Services: []catalog.Service{{Name: "s"}, {Name: "other"}},
			Routes: []catalog.Route{{
				Name: "r", Host: "h", PathPrefix: "/r/", Kind: catalog.KindStream, Resumable: true, Timeout: 10 * time.Second,
				Targets: []catalog.Target{{Service: service, Weight: 1}}, Attempts: 2,
			}},
		}.Compile()
		if err != nil {
			t.Fatal(err)
		}
		core.Step(now, ConfigurationRead{Compiled: compiled})
	}
	configure(1, "s")
	other := releaseWorker("b", "v2")
	other.Service = "other"
	record := ReleaseRecord{Services: map[string][]string{"s": {"v1"}, "other": {"v2"}}, Complete: true}
	core.Step(now, ReleasesRead{Record: record, Revision: 4})
	core.Step(now, WorkersRead{Workers: []catalog.Worker{releaseWorker("a", "v1"), other}, Full: true})
	core.Step(now, StoreSynced{})
	now = now.Add(time.Minute)
	core.Step(now, Tick{})
	configure(2, "other")
	now = now.Add(time.Second)
	for _, effect := range core.Step(now, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: "again", Resumes: "first", Model: "other", Resumable: true, Continues: true, Repeatable: true, Attempts: 2, Deadline: now.Add(5 * time.Second),
	}}}) {
		if logged, is := effect.(Log); is {
			if resumed, is := logged.Line.(eventlog.StreamResumed); is && resumed.Release != "" {
				t.Errorf("a stream that may have begun at release v1 goes on at %s: %s", resumed.Release, resumed.Outcome)
			}
		}
	}
}
