// Package recovery measures in simulation how long the system takes to recover from faults.
//
// Measure reports how long planning or the loading of a model is interrupted: after the crash or
// the pause of a controller, a controller crash while answers of the key-value service are lost, an
// engine crash or machine reclaim during a load, and an hour without the key-value service in which
// a third of the nodes restart.
//
// MeasureService reports, for more kinds of faults, how long requests wait until they are served.
package recovery
