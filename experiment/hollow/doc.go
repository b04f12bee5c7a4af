// Package hollow runs the membership and replication cores of hundreds of nodes
// in one process on virtual time, with seeded latency, loss, crashes, pauses
// and partitions, and measures what they do. The nodes are hollow: they have
// neither callers nor engines nor sockets, but every message between them is
// encoded and decoded as on the network.
//
// Equal options give equal measurements, but for processor time.
package hollow
