// Package shell runs a fleet.Core as a process: it owns the clock, the network
// and every goroutine.
package shell
