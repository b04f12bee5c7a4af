// Package explain reconstructs from the logs of any number of nodes what happened to a
// request: the decisions about it, where its time was spent, and why it ended as it did.
package explain
