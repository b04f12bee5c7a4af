package shell

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/relay"
	"github.com/valveslip/valveslip/routing"
)

// step passes one event to the core and starts its effects. It never waits for the
// network, so the mutex is held only for one decision.
func (n *Node) step(event node.Event) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.core != nil {
		n.stepLocked(n.Now(), event)
	}
}

// stepLocked is step for callers that hold the mutex.
func (n *Node) stepLocked(now time.Time, event node.Event) {
	for _, effect := range n.core.Step(now, event) {
		n.startEffect(now, effect)
	}
}

// Step passes an event from another part of the process, such as the administration
// API, to the core.
func (n *Node) Step(event node.Event) { n.step(event) }

// startEffect starts one effect. The caller holds the mutex.
func (n *Node) startEffect(now time.Time, effect node.Effect) {
	switch effect := effect.(type) {
	case node.RoutingOutput:
		n.tickets.Deliver(effect.Effect)
	case node.SendMessage:
		n.transport.Send(effect.Address, effect.Message)
	case node.KeyValueCall:
		n.callKeyValue(effect)
	case node.EngineCall:
		n.callEngine(effect)
	case node.ListMachines:
		n.listMachines()
	case node.ReadStoreStatus:
		n.readStoreStatus()
	case node.SettingsApplied:
		n.applySettings(effect)
	case node.SettingsRejected:
		n.logger.Error("settings rejected", "history", effect.Stamp.History, "revision", effect.Stamp.Revision, "error", effect.Err)
	case node.RecordUnreadable:
		n.logger.Error("cannot decode stored record", "key", effect.Key, "error", effect.Err)
	case node.PlanMade:
		n.journal.RecordPlan(now, effect.Zone, &effect.Plan)
		n.logPlan(effect)
	case node.DrainCompleted:
		n.drainedOnce.Do(func() { close(n.drained) })
	}
}

// applySettings makes a snapshot the settings that all requests are checked against.
func (n *Node) applySettings(effect node.SettingsApplied) {
	n.settings.Store(effect.Snapshot)
	stamp := effect.Snapshot.Stamp
	n.metrics.settingsRevision.Set(float64(stamp.Revision))
	n.backend.Append(admin.Event{
		At: time.Now(), Kind: admin.EventSettings, Node: n.self.ID, Text: fmt.Sprintf("settings revision %d in force on node %s", stamp.Revision, n.self.ID),
	})
	n.logger.Info("settings in force", "history", stamp.History, "revision", stamp.Revision, "models", len(effect.Snapshot.Models))
}

// logPlan logs the orders of a plan and adds them to the event log.
func (n *Node) logPlan(effect node.PlanMade) {
	for _, action := range effect.Plan.Actions {
		n.backend.Append(admin.Event{
			At: time.Now(), Kind: admin.EventOrder, Path: n.modelPath(action.Model), Model: action.Model, Zone: effect.Zone, Node: n.self.ID,
			Text: fmt.Sprintf("%s %s on machine %s: %s", action.Kind, action.Model, action.Machine, action.Reason.Cause),
		})
		n.logger.Info("order planned", "zone", effect.Zone, "kind", action.Kind, "model", action.Model,
			"machine", action.Machine, "cause", action.Reason.Cause, "tier", action.Tier)
	}
}

// modelPath returns the path of a model in the settings tree, empty if the model is
// unknown.
func (n *Node) modelPath(id cluster.ModelID) string {
	if model := n.settings.Load().Model(id); model != nil {
		return model.Path
	}
	return ""
}

// recordDecision adds a routing decision to the journal. It is called by the request's
// own goroutine, so that the core does not wait for the journal.
func (n *Node) recordDecision(effect routing.Effect) {
	switch effect := effect.(type) {
	case routing.Dispatch:
		n.journal.RecordDispatch(n.Now(), &effect)
	case routing.Finish:
		n.journal.RecordFinish(n.Now(), &effect)
	}
}

// Submit implements relay.Decider.
func (n *Node) Submit(request routing.Request) *relay.Ticket {
	ticket := relay.NewTicket(n.recordDecision)
	now := n.Now()
	n.journal.RecordArrival(now, &request)
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.tickets[request.ID] = ticket
	n.stepLocked(now, node.RoutingInput{Event: routing.RequestArrived{Request: request}})
	return ticket
}

// Report implements relay.Decider.
func (n *Node) Report(event routing.Event) { n.step(node.RoutingInput{Event: event}) }
