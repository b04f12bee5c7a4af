// Package queue orders the waiting requests of one model: strictly by priority, within a priority
// fairly between teams by start-time fair queueing, and within a team by earliest deadline.
//
// Each priority level has a virtual time, which advances to the start tag of every item that is
// popped. A team that becomes active starts at the level's virtual time or at its own last finish
// tag, whichever is later. Neither a flood of one team nor a long pause of another thus gains an
// advantage.
package queue
