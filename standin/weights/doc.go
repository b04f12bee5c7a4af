// Package weights is a stand-in of the platform's weight store, which limits how
// many checkpoint loads start per second and shares its bandwidth when too many
// run at once. State models the store without I/O and takes the time as an
// argument; Server adds HTTP and fault injection, and Client fetches from it as
// an engine does.
package weights
