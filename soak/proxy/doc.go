// Package proxy implements a loopback TCP proxy that injects network faults into its
// connections: delay, throttling, resets, loss of one direction and permanent silence.
package proxy
