// Package routing decides, as a pure core without clock, network or
// goroutine, which requests are admitted, wait, run on which replica, are
// retried or refused.
package routing
