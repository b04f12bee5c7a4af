// Package feed decides where a node learns of changes in the store: by its own calls, from a peer
// that forwards what it read, or, while the calls fail and no peer forwards anything, from any peer
// that answers.
//
// Core is a pure state machine. Its owner makes the calls, sends the messages, and passes outcomes
// and the time back as events.
//
// The nodes of a fleet form a tree, so that the load on the store does not grow with the number of
// nodes. In each zone that is large enough a few nodes are relays, and every other node of the zone
// is a leaf of one of them. Where the bound on the delay of changes allows it and there are enough
// relays, one relay is the root: it polls the store, and the other relays learn from it. Otherwise
// each relay polls the store itself. Nodes of small zones are standalone and poll the store for
// themselves. Each node computes the tree from the list of live nodes, without an agreement: a node
// whose source is silent for longer than its timeout polls the store or asks another peer, so that
// trees that differ for a while delay changes but lose none.
//
// An update states the revision after which its changes begin and the one up to which they are
// complete. A receiver takes it only if it knows everything up to the first of these revisions, and
// requests the missing changes otherwise.
//
// The store may come back from a copy that lacks its last changes, in a new era. The first node that
// notices reads it, and forwards what differs from the last known state of the era before, which only
// nodes in that state take. The others request a snapshot or read the store when their turn comes.
//
// A node that starts reads the store if one page holds everything. Otherwise one node of its zone,
// the starter, reads the store, and the others take a snapshot from it.
package feed
