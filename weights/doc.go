// Package weights defines what valveslip needs of the platform's weight store:
// its published limits and its current state. Engines fetch from it themselves
// when they are ordered to load.
package weights
