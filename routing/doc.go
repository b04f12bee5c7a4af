// Package routing decides which requests are admitted, queued, refused, dispatched to which
// replica, retried or moved. It is a pure core without clock, network or goroutines: a [Router]
// is driven by events with their time and returns the effects that its owner must carry out.
//
// A request passes through these steps:
//
//  1. Admission checks that the model exists, the node is not draining, the request's content
//     and caller are not known to end machines, its deadline has not passed, and the limits of
//     its scopes allow it.
//  2. If a replica takes it, it is dispatched. A few replicas are sampled per distance, together
//     with those that may have the prompt's prefix cached, and compared by expected wait,
//     distance, cached prefix and failure rate. Each router uses its share of a machine's slots,
//     and more if the last load report shows free ones.
//  3. Otherwise it is queued by priority, fairness between teams and deadline, unless the queue
//     is full or it can't start before its deadline, the end of its queue time and the end of
//     its caller's patience. A refusal carries the time at which a retry is likely to be served.
//  4. With Config.ListAlternatives a dispatch only proposes a machine. The attempt is held until
//     AttemptPlaced names one, and then dispatched again.
//  5. A failed attempt is retried if its verdict, the request's attempts and the retry budget
//     allow it. An attempt that gets no response moves to another machine: a slot is reserved
//     there, the attempt cancelled, and the request dispatched when the attempt has ended.
//  6. Each admitted request ends with exactly one Finish, whose verdict covers all its attempts.
//
// Machines restrict their requests in three ways, stated in the headers of their answers. A
// machine that is leaving gets no new requests. A machine in a rest period gets none until the
// end of that period. A machine with a rate limit gets one request per turn: a permission that
// the router requests with TurnWanted and receives with TurnDecided, so that all routers
// together stay within the limit.
//
// The prefix cache of the engines is estimated by package affinity, requests that end machines
// are tracked by package poison, queues are ordered by package queue, and limits are divided
// between routers by package limit.
package routing
