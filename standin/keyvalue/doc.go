// Package keyvalue is a stand-in of the platform's key-value service: an
// in-memory store with etcd's semantics for one global revision, transactions,
// leases, watches with a start revision, and compaction.
//
// State is the pure part: time comes in with each call and there is no
// goroutine, so simulations and tests use it directly. Server adds the etcd v3
// HTTP/JSON gateway and fault injection.
package keyvalue
