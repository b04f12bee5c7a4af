// Package relay runs the attempts of an admitted request against engines and
// relays the answer to the caller. A Decider, which the routing core stands
// behind, decides on admission, dispatch, retries and cancellation; this package
// carries the decisions out and reports each outcome. On its own it only resumes
// answers that were cut off, at the engine that runs the attempt.
package relay
