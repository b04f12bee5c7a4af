// Package eventlog writes one line of key=value pairs for each decision about a request
// and each change of a node's state. All events are declared here, and the reference page
// for operators is generated from them.
//
// Writing an event never blocks. Lines wait in a bounded queue, each kind of event has its
// own rate limit, and dropped lines are counted and announced in the log.
package eventlog
