// Package clock tells the time by which nodes decide: steady like the monotonic clock, but
// going on while the machine is suspended, which neither time.Now's monotonic reading nor
// timers count. Leases, deadlines and the age of what is known go on in that time.
package clock
