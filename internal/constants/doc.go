// Package constants holds tests which check that the numeric constants of the fleet,
// placement, routing and membership packages are documented.
package constants
