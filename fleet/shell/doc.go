// Package shell runs a fleet.Core as a process. It owns the clock, the network connections and
// all goroutines; the core itself does no I/O.
package shell
