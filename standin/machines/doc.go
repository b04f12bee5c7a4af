// Package machines is a stand-in of the platform's machine list, which shows
// active and leaving machines with a delay. State holds the list without I/O and
// takes the time as an argument; Server adds HTTP and fault injection.
package machines
