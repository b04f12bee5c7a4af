// Package load sends an open-loop request load through the client API and checks that every answer
// is complete and belongs to its request.
//
// Start times are scheduled independently of the answers, and latencies are measured from the
// scheduled times, so a stall shows in every request that it delays (no coordinated omission). The
// checks need engines whose answers are a function of the prompt, as those of the engine stand-in
// are.
package load
