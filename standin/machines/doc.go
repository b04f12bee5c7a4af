// Package machines is a stand-in of the platform's machine list, which shows
// live and leaving machines with a lag. State is the pure part; Server adds
// HTTP and fault injection.
package machines
