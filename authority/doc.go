// Package authority implements the control protocol of a zone (cell) as pure state
// machines: the controller's lease, fencing tokens, the sealing of machines, the
// accounting of memory and replicas, and the division of replica counts over zones.
//
// Each zone has one controller at a time, elected by a lease in the key-value service. The
// lease's revision is the fencing token. A new controller seals every machine of its zone:
// the engine stores the token, refuses orders with a smaller one and answers with its
// inventory. Until a machine is sealed, the controller counts it as holding every model
// that it may hold, so a change of controllers never leads to more replicas than allowed.
//
// How many replicas of a model a zone may hold is stored in the zone's allotment.
// Apportion computes the allotments of all zones and raises one only by what the other
// zones can no longer hold.
package authority
