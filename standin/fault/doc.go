// Package fault injects failures into the stand-ins: a service that is down,
// slow or refusing, and answers lost after their effect. Faults that concern
// one kind of stand-in only (a cut stream, a reclaimed machine) are described
// here and carried out there.
package fault
