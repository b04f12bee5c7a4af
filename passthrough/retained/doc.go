// Package retained counts the bytes that a node holds for callers and machines that read slowly,
// so that they are bounded for the whole node and not only for each connection.
package retained
