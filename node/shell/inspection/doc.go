// Package inspection implements the queries of the administration API about a running
// node. It answers from the node's core and journal, and queries other nodes by
// messages for the rest.
package inspection
