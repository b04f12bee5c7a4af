// Package shell runs the composed core of a node as a process: it supplies the time,
// carries out the core's effects over the network, and serves the caller and
// administration listeners.
package shell
