// Package fault injects failures into the stand-ins: a service that is down, is
// slow or refuses requests, and responses that are lost after the request took
// effect. Faults of a single stand-in, such as a cut stream or a reclaimed
// machine, are declared here and implemented in that stand-in's package.
package fault
