// Package origins tells any node at which software release of machines a stream began that another
// node relayed. It is a pure state machine.
//
// The node that relays a stream keeps its origin and, while machines of several releases serve,
// replicates it to a few owners. They follow from the request's ID by rendezvous hashing, so that a
// node to which the caller comes back knows whom to ask.
package origins
