package shell

import (
	"context"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/verdict"
)

// Concurrency, queue lengths and timeouts of calls to the platform and the engines.
const (
	keyValueWorkers = 8
	keyValueQueue   = 256
	keyValueTimeout = 5 * time.Second
	// leaseTimeout applies to calls that are repeated while a lease runs.
	leaseTimeout  = 2 * time.Second
	engineWorkers = 32
	engineQueue   = 4096
	engineTimeout = 5 * time.Second
	// cacheMoveTimeout applies to the move of a KV cache.
	cacheMoveTimeout = 20 * time.Second
	platformWorkers  = 2
	platformQueue    = 8
	platformTimeout  = 5 * time.Second
	queueFullReason  = "too many calls wait already"
)

// queueFullError returns the error of a call that was rejected because the queue is
// full.
func queueFullError() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, queueFullReason)
}

// Names of calls in the log.
var (
	keyValueCallNames = map[node.KeyValueOperation]string{
		node.KeyValueRange: "range", node.KeyValueTxn: "transaction", node.KeyValueGrant: "grant",
		node.KeyValueKeepAlive: "renewal", node.KeyValueRevoke: "revocation", node.KeyValueWatch: "watch",
	}
	engineCallNames = map[node.EngineOperation]string{
		node.EngineSeal: "seal", node.EngineOrder: "order", node.EngineInventory: "inventory",
		node.EngineReport: "report", node.EngineMoveCache: "cache move",
	}
)

// logCallFailure logs a failed call unless the previous call of the same kind failed
// for the same reason. Calls canceled by the node's shutdown are not logged.
func (n *Node) logCallFailure(target, call string, machine cluster.MachineID, err error) {
	if n.context.Err() != nil || !n.callFailures.IsNew(target+" "+call+" "+string(machine), err) {
		return
	}
	n.logger.Warn("call failed", "target", target, "call", call, "machine", machine, "error", err)
}

// pooledCall is one call to the platform or an engine, executed by a worker pool.
type pooledCall struct {
	pool    *workerPool
	target  string
	name    string
	machine cluster.MachineID
	timeout time.Duration
	// run makes the call. Its error is also contained in the returned event.
	run func(ctx context.Context) (node.Event, error)
	// rejected is the event for the core if the pool's queue is full.
	rejected node.Event
}

// runPooled makes a call in the background, until the parent context ends or the call
// times out.
func (n *Node) runPooled(parent context.Context, call pooledCall) {
	accepted := call.pool.submit(func() {
		ctx, cancel := context.WithTimeout(parent, call.timeout)
		defer cancel()
		start := time.Now()
		event, err := call.run(ctx)
		n.metrics.observeCall(call.target, start, err)
		n.logCallFailure(call.target, call.name, call.machine, err)
		n.step(event)
	})
	if !accepted {
		n.logCallFailure(call.target, call.name, call.machine, queueFullError())
		n.background(func() { n.step(call.rejected) })
	}
}

// callKeyValue makes a call to the key-value service in the background.
func (n *Node) callKeyValue(call node.KeyValueCall) {
	if call.Operation == node.KeyValueWatch {
		n.background(func() { n.watch(call) })
		return
	}
	timeout := leaseTimeout
	if call.Operation == node.KeyValueRange {
		timeout = keyValueTimeout
	}
	n.runPooled(n.callContext, pooledCall{
		pool: n.keyValuePool, target: targetKeyValue, name: keyValueCallNames[call.Operation], timeout: timeout,
		run: func(ctx context.Context) (node.Event, error) {
			answer := n.executeKeyValueCall(ctx, call)
			return answer, answer.Err
		},
		rejected: node.KeyValueAnswered{ID: call.ID, Err: queueFullError()},
	})
}

// executeKeyValueCall makes one call and returns its answer.
func (n *Node) executeKeyValueCall(ctx context.Context, call node.KeyValueCall) node.KeyValueAnswered {
	answer := node.KeyValueAnswered{ID: call.ID}
	store := n.options.Store
	switch call.Operation {
	case node.KeyValueRange:
		answer.Pairs, answer.Revision, answer.Err = store.Range(ctx, call.Prefix)
	case node.KeyValueTxn:
		answer.Txn, answer.Err = store.Txn(ctx, call.Txn)
		answer.Revision = answer.Txn.Revision
	case node.KeyValueGrant:
		answer.Lease, answer.Err = store.Grant(ctx, call.TTL)
		answer.TTL = call.TTL
	case node.KeyValueKeepAlive:
		answer.TTL, answer.Err = store.KeepAlive(ctx, call.Lease)
		answer.Lease = call.Lease
	case node.KeyValueRevoke:
		answer.Err = store.Revoke(ctx, call.Lease)
	default:
		answer.Err = verdict.New(verdict.NotRun, verdict.CodeInternal, "unknown key-value operation %d", call.Operation)
	}
	return answer
}

// watch runs one watch until it ends.
func (n *Node) watch(call node.KeyValueCall) {
	err := n.options.Store.Watch(n.context, call.Prefix, call.StartRevision, func(batch keyvalue.WatchBatch) {
		n.logCallFailure(targetKeyValue, keyValueCallNames[call.Operation], "", nil)
		n.step(node.WatchDelivered{ID: call.ID, Batch: batch})
	})
	n.logCallFailure(targetKeyValue, keyValueCallNames[call.Operation], "", err)
	n.step(node.WatchEnded{ID: call.ID, Err: err})
}

// callEngine makes a control call to an engine in the background.
func (n *Node) callEngine(call node.EngineCall) {
	timeout := engineTimeout
	if call.Operation == node.EngineMoveCache {
		timeout = cacheMoveTimeout
	}
	n.runPooled(n.context, pooledCall{
		pool: n.enginePool, target: targetEngine, name: engineCallNames[call.Operation], machine: call.Machine.ID, timeout: timeout,
		run: func(ctx context.Context) (node.Event, error) {
			answer := n.executeEngineCall(ctx, call)
			return answer, answer.Err
		},
		rejected: node.EngineAnswered{Call: call, Err: queueFullError()},
	})
}

// executeEngineCall makes one control call and returns its answer.
func (n *Node) executeEngineCall(ctx context.Context, call node.EngineCall) node.EngineAnswered {
	answer := node.EngineAnswered{Call: call}
	control, address := n.options.Engines, call.Machine.Address
	switch call.Operation {
	case node.EngineSeal:
		answer.Inventory, answer.Err = control.Seal(ctx, address, call.Token)
	case node.EngineOrder:
		answer.Inventory, answer.Err = control.Order(ctx, address, call.Order)
	case node.EngineInventory:
		answer.Inventory, answer.Err = control.Inventory(ctx, address)
	case node.EngineReport:
		answer.Report, answer.Err = control.Report(ctx, address)
	case node.EngineMoveCache:
		answer.Err = control.MoveKV(ctx, address, call.Target.Address, engine.KVCache{
			Model: call.Model, Version: call.Version, Token: call.Token,
		})
	default:
		answer.Err = verdict.New(verdict.NotRun, verdict.CodeInternal, "unknown engine operation %d", call.Operation)
	}
	return answer
}

// listMachines reads the machine list in the background.
func (n *Node) listMachines() {
	n.runPooled(n.context, pooledCall{
		pool: n.platformPool, target: targetMachines, name: "list", timeout: platformTimeout,
		run: func(ctx context.Context) (node.Event, error) {
			list, version, err := n.options.Machines.List(ctx)
			return node.MachinesListed{Machines: list, Version: version, Err: err}, err
		},
		rejected: node.MachinesListed{Err: queueFullError()},
	})
}

// readStoreStatus reads the weight store's status in the background.
func (n *Node) readStoreStatus() {
	n.runPooled(n.context, pooledCall{
		pool: n.platformPool, target: targetWeights, name: "status", timeout: platformTimeout,
		run: func(ctx context.Context) (node.Event, error) {
			status, err := n.options.Weights.Status(ctx)
			return node.StoreStatusRead{Status: status, Err: err}, err
		},
		rejected: node.StoreStatusRead{Err: queueFullError()},
	})
}
