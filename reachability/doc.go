// Package reachability decides from the outcomes of a node's own connections whether the node has
// lost its path to the machines. A node alone can't tell a lost path from machines that are all
// gone, so its verdict only says which path to try, never that a machine has ended.
package reachability
