package shell

import (
	"context"
	"time"

	"github.com/valveslip/valveslip/authority/sequence"
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/lease"
	"github.com/valveslip/valveslip/verdict"
)

// Timeouts of the calls to the store and to the engines.
const (
	// leaseTimeout leaves time for a second call within a lease of 2 s.
	leaseTimeout = 900 * time.Millisecond
	// releasesTimeout is short because a caller waits for the record of releases, and a store that is not away answers
	// within some milliseconds.
	releasesTimeout = 150 * time.Millisecond
	// orderTimeout is short because an engine accepts an order at once or not at all, and the
	// outcome of an order without an answer shows in the engine's report.
	orderTimeout = 250 * time.Millisecond
	// reportTimeout is longer than orderTimeout because an engine answers between two steps of
	// its batch.
	reportTimeout = 600 * time.Millisecond
)

// engineReport names the report calls in the metrics and the log.
const engineReport = "engine report"

// logNewFailure logs a failed call unless the previous call of this kind to the machine failed
// for the same cause. Calls that were cancelled because the node ends are not logged.
func (n *Node) logNewFailure(call string, machine cluster.MachineID, err error) {
	if n.context.Err() == nil && n.failures.IsNew(call+" "+string(machine), err) {
		n.options.Log.Write(eventlog.CallFailed{Call: call, Machine: machine, Cause: err.Error()})
	}
}

// callLease runs a lease operation for one of the node's records and feeds the answer to the core
// if the core awaits it.
func (n *Node) callLease(call fleet.LeaseCall) {
	ctx, cancel := context.WithTimeout(n.context, leaseTimeout)
	defer cancel()
	answer := n.performLeaseCall(ctx, &call.Call)
	operation := operationOf(call.Call.Operation)
	n.countStoreCall(operation, answer.Err)
	n.logNewFailure(string(operation), "", answer.Err)
	if call.Awaited {
		n.step(fleet.LeaseAnswered{Record: call.Record, Answer: answer})
	}
}

// performLeaseCall runs one lease operation and returns the store's answer.
func (n *Node) performLeaseCall(ctx context.Context, call *lease.Call) lease.Answer {
	var answer lease.Answer
	switch call.Operation {
	case lease.Grant:
		answer.Lease, answer.Err = n.options.Store.Grant(ctx, call.TTL)
		answer.TTL = call.TTL
	case lease.Txn:
		answer.Txn, answer.Err = n.options.Store.Txn(ctx, call.Txn)
	case lease.KeepAlive:
		answer.TTL, answer.Err = n.options.Store.KeepAlive(ctx, call.Lease)
	case lease.Revoke:
		answer.Err = n.options.Store.Revoke(ctx, call.Lease)
	}
	answer.Era = n.options.Store.Era()
	if answer.Err != nil && ctx.Err() != nil && verdict.Of(answer.Err) == verdict.NotRun && call.Operation == lease.Txn {
		answer.Err = verdict.Wrap(answer.Err, verdict.NotRun, verdict.CodeUnavailable, "the store can't be reached")
	}
	return answer
}

// callWrite writes or deletes a key. If another node has already changed the key the transaction
// does nothing, which is the intended result.
func (n *Node) callWrite(effect fleet.StoreWrite) {
	ctx, cancel := context.WithTimeout(n.context, leaseTimeout)
	defer cancel()
	result, err := n.options.Store.Txn(ctx, keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: effect.Key, ModRevision: effect.Revision}},
		Operations: []keyvalue.Operation{{Key: effect.Key, Value: effect.Value, Delete: effect.Delete}},
	})
	n.countStoreCall(storeWrite, err)
	n.logNewFailure(string(storeWrite), "", err)
	n.step(fleet.StoreWritten{Key: effect.Key, Err: err, Conflict: err == nil && !result.Succeeded})
}

// callReleases reads the record of releases from the store.
func (n *Node) callReleases() {
	ctx, cancel := context.WithTimeout(n.context, releasesTimeout)
	defer cancel()
	pairs, _, revision, err := n.options.Store.FirstPage(ctx, fleet.KeyReleases)
	answer := fleet.ReleasesAnswered{Era: revision.Era(), Err: err}
	for i := range pairs {
		if pairs[i].Key == fleet.KeyReleases {
			answer.Record, answer.Err = fleet.DecodeReleases(pairs[i].Value)
		}
	}
	n.countStoreCall(storeRead, answer.Err)
	n.logNewFailure(string(storeRead), "", answer.Err)
	n.step(answer)
}

// callDelete deletes keys.
func (n *Node) callDelete(effect fleet.StoreDelete) {
	ctx, cancel := context.WithTimeout(n.context, leaseTimeout)
	defer cancel()
	transaction := keyvalue.Transaction{}
	for _, key := range effect.Keys {
		transaction.Operations = append(transaction.Operations, keyvalue.Operation{Key: key, Delete: true})
	}
	_, err := n.options.Store.Txn(ctx, transaction)
	n.countStoreCall(storeWrite, err)
	n.logNewFailure(string(storeWrite), "", err)
}

// callTicket writes a key that must be absent, under a lease of its own that is never renewed. If
// the answer is lost, no node can take the ticket until the lease expires.
func (n *Node) callTicket(effect fleet.WriteTicket) {
	ctx, cancel := context.WithTimeout(n.context, leaseTimeout)
	defer cancel()
	id, err := n.options.Store.Grant(ctx, effect.Lasts)
	n.countStoreCall(storeGrant, err)
	if err != nil {
		n.logNewFailure(string(storeGrant), "", err)
		return
	}
	result, err := n.options.Store.Txn(ctx, keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: effect.Key}},
		Operations: []keyvalue.Operation{{Key: effect.Key, Value: []byte(n.options.Core.Self.ID), Lease: id}},
	})
	n.countStoreCall(storeWrite, err)
	n.logNewFailure(string(storeWrite), "", err)
	if err == nil && result.Succeeded {
		n.step(fleet.TicketWritten{Shard: effect.Shard, Number: effect.Number})
	}
}

// errStaleOrder is the answer to an order that was not sent because it was decided too long ago.
var errStaleOrder = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the process stood still since the order was decided")

// callOrder sends an order to an engine. It drops an order that was decided before the process or
// its machine was paused, because another node may hold the lease by now.
func (n *Node) callOrder(effect fleet.SendOrder, decided time.Time) {
	if n.Now().Sub(decided) > orderTimeout {
		n.step(fleet.OrderAnswered{
			Answer: sequence.OrderAnswered{Machine: effect.Send.Order.Machine, Number: effect.Send.Number, Err: errStaleOrder},
			Order:  effect.Send.Order,
		})
		return
	}
	ctx, cancel := context.WithTimeout(n.context, orderTimeout)
	defer cancel()
	began := n.Now()
	outcome, err := n.options.Engines.Order(ctx, effect.Send.Address, effect.Send.Order)
	n.metrics.countCall("engine order", err)
	n.step(fleet.OrderAnswered{
		Answer: sequence.OrderAnswered{Machine: effect.Send.Order.Machine, Number: effect.Send.Number, Outcome: outcome, Err: err},
		Order:  effect.Send.Order, Took: n.Now().Sub(began),
	})
}

// callReport reads an engine's report.
func (n *Node) callReport(effect fleet.ReadReport) {
	ctx, cancel := context.WithTimeout(n.context, reportTimeout)
	defer cancel()
	report, err := n.options.Engines.Report(ctx, effect.Read.Address, effect.Read.Machine)
	n.metrics.countCall(engineReport, err)
	n.logNewFailure(engineReport, effect.Read.Machine, err)
	n.step(fleet.ReportRead{Read: sequence.ReportRead{Machine: effect.Read.Machine, Report: report, Err: err}})
}
