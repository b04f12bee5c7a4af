// Package sequence accounts for the orders and replicas of engines that count the orders
// they take. An order names the expected count, and an engine takes it only if it has
// taken exactly that many orders. So an order whose answer was lost can't be carried out
// after a newer one: the ledger sends it again with the same count until its outcome is
// known. The memory of a load is reserved before the order is sent and stays reserved
// until the outcome shows that it is free.
//
// The ledger is a pure state machine: it takes the time and an event and returns effects
// for the caller to carry out.
package sequence
