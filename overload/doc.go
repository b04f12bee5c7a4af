// Package overload measures the scheduling latency of a process: how late it handles work that is
// ready to run. If work arrives faster than the processors handle it, everything queues, also what
// keeps the process informed of the cluster's state. The measurement shows that before a deadline
// is missed.
package overload
