// Package membership is the core that knows which nodes are running. Nodes
// probe one another with heartbeats, often inside a zone and seldom between
// zones, and gossip what they learn on the same messages.
//
// A member that does not answer two probes is suspected. It is held to be dead
// only when the suspicion lasts; until then it can refute it by raising its
// incarnation. A node that was paused or cut off is told that it was suspected
// or given up by whoever hears from it next, and refutes that too.
//
// For one member, news of a higher incarnation replaces older news; at equal
// incarnation dead replaces leaving, leaving replaces suspect, and suspect
// replaces alive. Only the member itself raises its incarnation. These rules
// make merging commutative and idempotent, so order and repetition of gossip do
// not matter.
package membership
