// Package keyvalue is a stand-in of the platform's key-value service: an
// in-memory store with the semantics of etcd for a global revision,
// transactions, leases, watches with a start revision, and compaction.
//
// State holds the store without I/O or goroutines and takes the time as an
// argument, so simulations and tests can use it directly. Server adds the etcd v3
// HTTP/JSON gateway and fault injection.
package keyvalue
