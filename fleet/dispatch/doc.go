// Package dispatch lets one node, the dispatcher, decide for all nodes which engine runs an
// attempt and when the attempt is sent there.
//
// The problem: each node sees only its own requests. With 78 nodes in front of 60 engines, 92 of
// 100 requests were sent to an engine at which their node had nothing else in flight. Long prompts
// therefore met at one engine while other engines were idle, and the streams of that engine
// stalled during the prefill (the phase in which an engine reads a prompt before it decodes the
// answer).
//
// The steps of a placement:
//
//  1. A node that is about to send an attempt asks the dispatcher. The question carries the
//     candidate engines and the size, urgency and time limits of the request.
//  2. The dispatcher estimates, for each candidate engine and a few send times, how many
//     answers will be late: the answer of the request itself and the streams that its prefill
//     delays.
//  3. It answers with the best engine and with the delay until the send, and tracks the
//     attempt.
//  4. The nodes report to the dispatcher when an answer begins and when an attempt ends.
//
// The dispatcher is the first of the live nodes in an order that all nodes compute alike: by
// capacity, largest first, then by a hash. The nodes run no election and need no agreement. Two
// dispatchers at the same time, or one that has just started, know fewer attempts and place worse,
// without any other effect. A node that gets no answer in time sends the attempt where it would by
// itself. For a short back-off it then asks the next node in the order, after a full report of its
// attempts.
package dispatch
