// Package replication is the core that holds the configuration in force on a
// node and spreads it between nodes.
//
// A configuration is identified by a stamp: history, revision and digest.
// Stamps are ordered by history, then revision; histories sort by their names,
// which begin with the time of their making. A node only ever moves to a larger
// stamp. As all sources are merged by that one rule, order, loss and
// repetition of messages do not matter.
//
// Controllers read the configuration from the key-value service. From them it
// spreads in two ways: a node that moved pushes the accepted edits to a few
// others at random, and a node that hears of a larger stamp on a heartbeat asks
// for what follows its own. The answer holds the edits after the asked revision
// when the history is the same and the backlog of the answerer reaches back far
// enough, else a snapshot. The scheme follows the PSYNC v2 design of Redis
// ("Redis PSYNC v2 design, replication IDs for partial resync after failover").
package replication
