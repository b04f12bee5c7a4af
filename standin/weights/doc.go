// Package weights is a stand-in of the platform's weight store, which limits
// how many loads start a second and slows down when too many run at once.
// State is the pure part; Server adds HTTP and fault injection, and Client
// fetches from it as an engine does.
package weights
