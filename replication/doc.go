// Package replication spreads accepted configuration between nodes, as a
// pure core that never steps back.
package replication
