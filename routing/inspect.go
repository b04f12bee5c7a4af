package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// QueueView is one model's queue for operators.
type QueueView struct {
	Model            cluster.ModelID
	Waiting, Running int
	// Bytes of waiting request bodies.
	Bytes      int64
	OldestWait time.Duration
}

// Queues returns the models with waiting or running requests, sorted by name.
// It changes nothing.
func (r *Router) Queues(now time.Time) []QueueView {
	nanos := max(now.UnixNano(), r.nanos)
	var views []QueueView
	for _, model := range r.sortedModels() {
		if model.queue.Len()+model.running == 0 {
			continue
		}
		views = append(views, QueueView{
			Model: model.id, Waiting: model.queue.Len(), Running: model.running,
			Bytes: model.queue.Bytes(), OldestWait: model.oldestWait(nanos),
		})
	}
	return views
}
