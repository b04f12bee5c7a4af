// Package blackhole lets tests turn open TCP connections into black holes, as a firewall
// does that has dropped their state: packets from the peer are neither acknowledged nor
// answered with a reset, while new connections still work.
package blackhole
