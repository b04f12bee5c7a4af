// Package placement plans which models are loaded on the machines of one zone: how many
// replicas each model has, on which machines, and for what reason.
//
// The machines hold far fewer models than the zone serves, and loads from the weight store
// are slow and limited in number. A planner therefore decides which models stay in memory
// and which load is worth the wait that it causes. It runs in rounds. Each round takes a
// [State], which is a snapshot of the zone, and returns a [Plan] in these steps:
//
//  1. Observe: record finished loads, arrivals, idle periods and the prompts to prefill.
//  2. Decide: compute the wanted number of replicas for each model from its waiting and
//     running requests, its prefill load, the policy's minimum and the learned idle times.
//  3. Unload: plan unloads of removed models, of replicas above the allotment, of outdated
//     versions and of surplus idle replicas.
//  4. Load: order the missing replicas by class, priority and score, choose a machine for
//     each, and evict the replicas whose loss costs least where memory is missing.
//  5. Explain: add a [Decision] with its [Reason] for each model.
//
// A plan is safe to carry out because each replica counts with its full memory until its
// unload is confirmed, also when its state is unknown. Machines that have not yet reported
// their replicas to the present controller get no actions. The allotment and the limits of
// the weight store are checked for each load. A planner has no clock and no goroutine, so
// the same sequence of states always gives the same plans.
package placement
