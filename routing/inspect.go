package routing

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// QueueStatus is the state of one model's queue for operators.
type QueueStatus struct {
	Model            cluster.ModelID
	Waiting, Running int
	// Bytes is the total size of the waiting requests' bodies.
	Bytes      int64
	OldestWait time.Duration
}

// Queues returns the models with waiting or running requests, sorted by ID. It does not change the
// router.
func (r *Router) Queues(now time.Time) []QueueStatus {
	nanos := max(now.UnixNano(), r.nanos)
	var views []QueueStatus
	for _, model := range r.sortedModels() {
		if model.queue.Len()+model.running == 0 {
			continue
		}
		views = append(views, QueueStatus{
			Model: model.id, Waiting: model.queue.Len(), Running: model.running,
			Bytes: model.queue.Bytes(), OldestWait: model.oldestWait(nanos),
		})
	}
	return views
}
