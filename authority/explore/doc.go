// Package explore searches the reachable states of the authority cores
// exhaustively at small size: every order in which messages, lapses of leases,
// restarts and losses can come, up to a depth. It runs the same code as a node;
// what differs is only the world around it. After every step it checks that no
// model has more replicas than decided and that no machine's memory is
// overcommitted.
//
// Deliberately broken worlds (Variant) show that the checks can fail.
package explore
