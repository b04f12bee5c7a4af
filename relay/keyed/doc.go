// Package keyed runs requests that carry an Idempotency-Key at most once among the
// nodes of a region. Each key has owners, nodes that record which request claimed it.
//
// For a request with a key, a Runner
//   - claims the key at its first owner, which grants or refuses the run,
//   - runs the request to its end even if the caller disconnects,
//   - keeps the answer for repetitions of the request, and
//   - reports the outcome to the owners.
//
// Package idempotency decides which request of a key may run.
package keyed
