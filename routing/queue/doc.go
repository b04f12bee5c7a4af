// Package queue orders the waiting requests of one model: strictly by priority,
// within a priority fairly between teams by start-time fair queueing, and
// within a team by earliest deadline.
//
// The virtual time of a priority level advances to the start tag of each item
// served. A team that becomes active starts at the level's virtual time or its
// own last finish tag, whichever is later, so neither a flood of one team nor a
// long pause of another buys an advantage.
package queue
