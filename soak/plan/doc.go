// Package plan generates and stores fault schedules: which fault is injected, when
// and into which process, link or worker. A schedule is a pure function of its seed
// and the size of the deployment. It can be encoded, parsed, truncated and shrunk.
// The package injects no faults itself.
package plan
