// Package soak runs the real program as separate processes on one machine, over loopback and
// against a simulated platform. It injects faults from outside and lets package check decide
// from the observations of callers and workers whether the promises hold. The faults follow a
// schedule of package plan, and every connection goes through a proxy of package proxy.
package soak
