// Package overload measures how late a process carries out what is ready to run. Where work
// comes faster than the processors carry it, everything waits behind everything else, also
// what keeps the process informed: the measure tells that before any bound is missed.
package overload
