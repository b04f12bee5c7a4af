// Package lease acquires, renews and releases one record in the key-value
// service that exists only while its lease lives. The revision at which the
// holder wrote the record is its fencing token. The package is a pure state
// machine: its owner makes the calls and hands the answers back.
package lease
