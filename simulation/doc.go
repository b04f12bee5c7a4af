// Package simulation runs complete deployments on a virtual clock. A run is
// determined by its configuration and seed.
//
// A World runs the product's cores on nodes, together with models of the network,
// the engines, the key-value service, the weight store, the machine list and the
// callers. A Kernel executes all events on one goroutine in order of virtual time.
// Checkers compare every change of the true state with the product's promises,
// and faults can be injected at fixed or random times.
//
// A Cell runs only a placement planner against engines, without network or faults,
// to measure the planner's own cost.
package simulation
