// Package pacing keeps the requests of all nodes to a machine within the rate limit that the
// machine reported.
//
// A machine under pressure reports how many requests per second it accepts from all nodes
// together. For each such machine one node, the pacer, grants turns. All nodes compute the same
// pacers: the first of the live nodes by rendezvous hashing of the machine and the node's host. A
// node requests a turn from the pacer before each request and sends the request at the granted
// time. Unused turns are not saved up.
//
// The nodes run no consensus protocol for this. A pacer grants turns for three quarters of the
// limit, so that two pacers that are active at the same time, as happens while nodes join and
// leave, exceed it by half at most. A node whose pacer does not answer asks the second one. A
// node that gets no answer at all grants itself an even share. If no node reaches any other, the
// turns granted are at most 2.25 times the limit: the first and the second pacer grant them to
// themselves, and the other nodes grant themselves even shares.
package pacing
