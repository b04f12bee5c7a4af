package inspection

import (
	"context"
	"encoding/json"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// Subjects of an inspection request.
const (
	subjectControllers = "controllers"
	subjectMachines    = "machines"
	subjectReplicas    = "replicas"
	subjectQueues      = "queues"
	subjectDecisions   = "decisions"
	subjectRequest     = "request"
)

// collect requests a list on a subject from the nodes and appends their answers to the
// local list. Nodes that do not answer within queryTimeout are left out.
func collect[T any](ctx context.Context, b *Backend, nodes []cluster.Node, subject, key string, local []T) []T {
	if len(nodes) == 0 {
		return local
	}
	queryContext, cancel := context.WithTimeout(ctx, b.queryTimeout)
	defer cancel()
	number, answers := b.exchange.Open(len(nodes))
	defer b.exchange.Forget(number)
	for _, other := range nodes {
		b.source.Send(other.PeerAddress, wire.InspectionRequest{
			From: b.source.Self().ID, FromAddress: b.source.Self().PeerAddress, Number: number, Subject: subject, Key: key,
		})
	}
	for range nodes {
		select {
		case received := <-answers:
			if answer, ok := received.(wire.InspectionAnswer); ok && answer.Found {
				local = append(local, decodeList[T](b, &answer, subject)...)
			}
		case <-queryContext.Done():
			return local
		}
	}
	return local
}

// decodeList returns the list in a node's answer, or logs the error and returns nil if
// it cannot be decoded.
func decodeList[T any](b *Backend, answer *wire.InspectionAnswer, subject string) []T {
	var list []T
	if err := json.Unmarshal(answer.Data, &list); err != nil {
		b.logger.Warn("cannot decode inspection answer", "peer", answer.From, "subject", subject, "error", err)
		return nil
	}
	return list
}

// Handle processes inspection messages. It returns false for all other messages.
func (b *Backend) Handle(message wire.Message) bool {
	switch message := message.(type) {
	case wire.InspectionRequest:
		b.sendAnswer(message)
	case wire.InspectionAnswer:
		b.exchange.Deliver(message.Number, message)
	default:
		return false
	}
	return true
}

// sendAnswer answers a request with this node's data on the subject.
func (b *Backend) sendAnswer(request wire.InspectionRequest) {
	answer := wire.InspectionAnswer{From: b.source.Self().ID, Number: request.Number}
	if held := b.localData(request.Subject, request.Key); held != nil {
		data, err := json.Marshal(held)
		answer.Found, answer.Data = err == nil, data
		if err != nil {
			b.logger.Error("cannot encode inspection answer", "subject", request.Subject, "error", err)
		}
	}
	b.source.Send(request.FromAddress, answer)
}

// localData returns this node's data on a subject, nil for an unknown subject.
func (b *Backend) localData(subject, key string) any {
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

// withoutCause returns the trace without the underlying error of a failure, which has
// no JSON form.
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
