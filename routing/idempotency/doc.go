// Package idempotency decides whether a request with an Idempotency-Key may run, is running, has
// run, or may have run on a node that can no longer be asked.
//
// Each key has three owners among the nodes of the region, selected by rendezvous hashing: a first
// owner, a backup and a witness. The node that accepts a request sends a Claim to the first owner.
// The first owner records the claim at the backup and then grants it. The accepting node runs the
// request itself and reports the outcome to both. A key is remembered for a window after its last
// change.
//
// When the membership changes, some keys get other owners. A first owner grants a claim only after
// a quorum of the owners in every former membership confirmed that they don't know the key: two of
// three owners, or the first one in a region of two nodes. With the confirmation, a node promises
// to name the asker's owners to every later asker. If two nodes with different views of the
// membership both consider themselves the first owner, one of them thus learns of the other. If too
// many owners of a former membership are gone, the outcome is unknown and the request does not run.
//
// A node that shuts down hands its records over to a successor (its heir), which then answers in
// its place.
//
// Table is a pure data structure without clock, network or lock.
package idempotency
