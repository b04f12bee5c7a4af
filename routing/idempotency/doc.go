// Package idempotency decides whether a request that carries an
// Idempotency-Key may run, is being run, was run, or may have been run by a
// node that can no longer be asked.
//
// Each key has two owners among the nodes of the region, and a witness, by
// rendezvous hashing. The node that accepted the request asks the first owner
// for leave (a Claim). The first owner records the claim at the second before it
// gives leave. The accepting node runs the request itself and reports the
// outcome to both. A key is remembered for a window after its last change.
//
// When membership changes, some keys get other owners. A first owner gives leave
// only after enough owners of every former membership said that they do not know
// the key: two of the three, or the first one in a region of two nodes. By saying
// so, a node promises to name the asker's owners to everyone who asks after, so
// that of two first owners whose views differ one learns of the other. If too
// many owners of a former membership are gone, the outcome is unknown, and the
// request does not run.
//
// Table is a pure data structure: it has no clock, no network and no lock.
package idempotency
