// Package inspection answers the administration API's questions about a running
// node: from the node's core and journal for what it holds itself, and by
// messages to other nodes for the rest.
package inspection
