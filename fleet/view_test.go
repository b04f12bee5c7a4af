package fleet

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/wire"
)

// Guards against a request that waits forever for a load that no holder reports as done, because
// the holder changed meanwhile. The machine's entry that lists the model overrides the holder's
// status.
func TestEntryConfirmsUnreportedLoad(t *testing.T) {
	simulation := newSimulation(1, 1, 0)
	core := simulation.nodes[0].core
	now := simulation.now
	entry := catalog.Worker{ID: "e", Service: "s", Address: "e:1", Zone: "z", Slots: 8}
	core.Step(now, WorkersRead{Workers: []catalog.Worker{entry}, Full: true})
	core.Step(now, RoutingInput{Event: routing.RequestArrived{Request: routing.Request{
		ID: "r", Model: "s/c", TokenPath: "/", Deadline: now.Add(time.Minute), Attempts: 1,
	}}})
	core.Step(now, MessageReceived{Message: wire.CellStatus{Replicas: []wire.ReplicaRecord{
		{Machine: "e", Model: "s/c", State: cluster.ReplicaLoading, ReadyIn: 3 * time.Second},
	}}})
	entry.LoadedModels = []catalog.LoadedModel{{Name: "c"}}
	effects := core.Step(now.Add(3*time.Second), WorkersRead{Workers: []catalog.Worker{entry}})
	for _, effect := range effects {
		if output, ok := effect.(RoutingOutput); ok {
			if dispatch, ok := output.Effect.(routing.Dispatch); ok && dispatch.Machine == "e" {
				return
			}
		}
	}
	t.Fatalf("effects %v, want the request to be sent", effects)
}
