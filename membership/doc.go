// Package membership decides, as a pure core, which nodes are alive:
// heartbeats, suspicion, refutation and leaving.
package membership
