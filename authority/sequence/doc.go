// Package sequence is the ledger of the one that gives orders to engines which
// count them: an order names the count it expects, and an engine takes it only
// if it has taken exactly that many. So an order whose answer was lost can't be
// carried out after a newer one, and the ledger sends it again under the same
// count until the outcome is known. Memory counts as taken from before an order
// is sent until its outcome shows otherwise.
//
// The ledger is a pure state machine: it takes the time and an event and returns
// effects.
package sequence
