// Package lease acquires, renews and releases a record in the key-value service that is
// attached to a lease and exists only until the lease expires. The revision at which the lease
// holder wrote the record is its fencing token. The package is a state machine without I/O: its
// user makes the calls to the service and passes the answers back.
package lease
