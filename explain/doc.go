// Package explain tells from the logs of any number of nodes what became of a
// request: what was known, what was decided, where the time went, and why.
package explain
