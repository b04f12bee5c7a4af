// Package hollow measures membership and replication at scale. It runs the cores of hundreds of
// nodes in one process on virtual time, with seeded latency, message loss, crashes, pauses and
// partitions. The nodes are called hollow because they have neither clients nor engines nor
// sockets, but every message between them is encoded and decoded as on the network.
//
// Equal options give equal measurements, except for processor time.
package hollow
