// Package agenda is an event queue for simulations: it orders functions by the time of a
// virtual clock at which they are to run.
package agenda
