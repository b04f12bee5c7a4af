// Package eventlog writes one line of key=value pairs for each decision that
// touches a request or changes what the process believes. All events are
// declared here. Writing never blocks: lines wait in a bounded queue, each kind
// has a rate of its own, and what is dropped is counted and announced.
package eventlog
