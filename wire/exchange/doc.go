// Package exchange matches the answers of other nodes to the requests that a node has sent.
// Messages between nodes may be lost, so the sender of a request must bound its wait for the answers.
package exchange
