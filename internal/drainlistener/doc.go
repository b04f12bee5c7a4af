// Package drainlistener provides a listener that a stopping server can close without resetting the
// connections that wait to be accepted.
package drainlistener
