// Package settings stores and evaluates the operators' settings tree. A level of the tree sets
// policy keys for itself and everything below it, and each effective value records the level that
// it comes from.
//
// Operators change the tree by edits, which are validated strictly and kept in a bounded history
// in the key-value service. An accepted tree is compiled into an immutable Snapshot, from which
// all decisions read their policies.
package settings
