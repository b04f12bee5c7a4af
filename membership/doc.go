// Package membership determines which nodes are running. Nodes probe each other
// with heartbeats, frequently within a zone and less often between zones, and
// gossip member records on the same messages.
//
// A member that does not answer two probes becomes a suspect. It is declared dead
// only if the suspicion lasts; until then it can refute the suspicion by raising
// its incarnation. A node that was paused or partitioned learns from the next node
// that sends it a heartbeat that it was suspected or declared dead, and refutes
// that as well.
//
// For one member, a record with a higher incarnation replaces an older one. At
// equal incarnation, dead replaces leaving, leaving replaces suspect, and suspect
// replaces alive. Only the member itself raises its incarnation. These rules make
// merging commutative and idempotent, so the order and repetition of gossip do not
// matter.
package membership
