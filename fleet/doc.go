// Package fleet composes the deciding cores of a node for deployments in which every node reads
// the platform's store itself. Each node learns the configuration, the machines and the other
// nodes from its own watch on the store. Nodes send each other only the demand of their callers,
// the outcome of load orders, and the messages of the parts that they share: tenants' tokens,
// dispatching, pacing and poison requests, which end the machines that run them. Any node may
// hold the lease under which load orders are given to engines.
//
// The composition is a pure core like package node: it takes the time and an event and returns
// effects, and a shell carries out the effects.
package fleet
