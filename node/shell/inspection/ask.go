package inspection

import (
	"context"
	"encoding/json"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Subjects of an InspectionRequest.
const (
	subjectControllers = "controllers"
	subjectMachines    = "machines"
	subjectReplicas    = "replicas"
	subjectQueues      = "queues"
	subjectDecisions   = "decisions"
	subjectRequest     = "request"
)

// gather asks nodes for a list on a subject and adds what they answer to the
// local one. Nodes that do not answer in time are left out.
func gather[T any](ctx context.Context, b *Backend, nodes []cluster.Node, subject, key string, local []T) []T {
	if len(nodes) == 0 {
		return local
	}
	bounded, cancel := context.WithTimeout(ctx, b.askTime)
	defer cancel()
	number, answers := b.open(len(nodes))
	defer b.forget(number)
	for _, other := range nodes {
		b.source.Send(other.PeerAddress, wire.InspectionRequest{
			From: b.source.Self().ID, FromAddress: b.source.Self().PeerAddress, Number: number, Subject: subject, Key: key,
		})
	}
	for range nodes {
		select {
		case answer := <-answers:
			var list []T
			if answer.Found && json.Unmarshal(answer.Data, &list) == nil {
				local = append(local, list...)
			}
		case <-bounded.Done():
			return local
		}
	}
	return local
}

// open returns the number of a new question and where its answers arrive.
func (b *Backend) open(nodes int) (uint64, <-chan wire.InspectionAnswer) {
	answers := make(chan wire.InspectionAnswer, nodes)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.number++
	b.pending[b.number] = answers
	return b.number, answers
}

// forget drops a question; later answers to it are ignored.
func (b *Backend) forget(number uint64) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.pending, number)
}

// Handle takes the messages that concern inspection. It returns false for all
// others.
func (b *Backend) Handle(message wire.Message) bool {
	switch message := message.(type) {
	case wire.InspectionRequest:
		b.answer(message)
	case wire.InspectionAnswer:
		b.deliver(message)
	default:
		return false
	}
	return true
}

// deliver hands an answer to the question it belongs to. A second answer of a
// node finds no room and is dropped.
func (b *Backend) deliver(answer wire.InspectionAnswer) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if answers, open := b.pending[answer.Number]; open {
		select {
		case answers <- answer:
		default:
		}
	}
}

// answer sends what this node holds on a subject.
func (b *Backend) answer(request wire.InspectionRequest) {
	answer := wire.InspectionAnswer{From: b.source.Self().ID, Number: request.Number}
	if held := b.held(request.Subject, request.Key); held != nil {
		data, err := json.Marshal(held)
		answer.Found, answer.Data = err == nil, data
	}
	b.source.Send(request.FromAddress, answer)
}

// held returns what this node holds on a subject, nil for an unknown subject.
func (b *Backend) held(subject, key string) any {
	switch subject {
	case subjectControllers:
		return b.localControllers()
	case subjectMachines:
		return b.localMachines()
	case subjectReplicas:
		return b.localReplicas()
	case subjectQueues:
		return b.localQueues()
	case subjectDecisions:
		return b.localDecisions(cluster.ModelID(key))
	case subjectRequest:
		trace, err := b.localTrace(cluster.RequestID(key))
		if err != nil {
			return nil
		}
		return []admin.RequestTrace{withoutCause(trace)}
	default:
		return nil
	}
}

// withoutCause drops the underlying error of a failure, which has no JSON form.
func withoutCause(trace admin.RequestTrace) admin.RequestTrace {
	if trace.Finish == nil || trace.Finish.Failure == nil {
		return trace
	}
	finish, failure := *trace.Finish, *trace.Finish.Failure
	failure.Cause = nil
	finish.Failure = &failure
	trace.Finish = &finish
	return trace
}
