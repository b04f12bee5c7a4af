// Package shell runs the composed core of a node as a real process: it gives it
// the clock, carries out its effects over the network, and serves the callers'
// and administration listeners.
package shell
