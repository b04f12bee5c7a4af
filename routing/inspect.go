package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// QueueView is the state of one model's queue for operators.
type QueueView struct {
	Model            cluster.ModelID
	Waiting, Running int
	// Bytes is the total size of the waiting requests' bodies.
	Bytes      int64
	OldestWait time.Duration
}

// Queues returns the models with waiting or running requests, sorted by ID. It does not change the
// router.
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
