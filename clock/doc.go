// Package clock provides the time on which nodes base their decisions. It is as
// steady as the monotonic clock, but also advances while the machine is suspended,
// which neither time.Now's monotonic reading nor timers do. Leases, deadlines and
// the age of data continue to run during a suspension.
package clock
