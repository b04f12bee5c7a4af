// Package replication is the core that holds the configuration in force on a node
// and replicates it between nodes.
//
// A configuration is identified by a stamp: history, revision and digest. Stamps are
// ordered by history, then by revision. The name of a history begins with the time at
// which it was created, so that histories sort by age. A node only ever moves to a
// larger stamp, whatever the source of the configuration; the order, loss and
// repetition of messages therefore do not matter.
//
// Controllers read the configuration from the key-value service. From the controllers
// it spreads in two ways:
//   - Push: a node that has put accepted edits in force sends them to a few random peers.
//   - Pull: a node that sees a larger stamp on a heartbeat requests what follows its own
//     stamp.
//
// A request is answered with the edits after the requester's revision if both nodes have
// the same history and the backlog reaches back to that revision, otherwise with a
// snapshot of the whole configuration. The scheme follows the PSYNC v2 design of Redis
// ("Redis PSYNC v2 design, replication IDs for partial resync after failover").
package replication
