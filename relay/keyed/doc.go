// Package keyed runs requests that carry an Idempotency-Key at most once among
// the nodes of a region. It asks the key's first owner for leave, lets the
// request run to its end even when its caller leaves, keeps the answer for the
// caller's repetition, and tells the owners how it ended. Which request of a key
// may run is decided by package idempotency.
package keyed
