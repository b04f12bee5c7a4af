// Package load drives an open loop of requests through the callers' API and
// checks every answer for being whole and its own.
//
// Requests start at times that were fixed beforehand, however slow the answers
// are, and latencies count from those times; so a stall shows in every request
// that it delays (no coordinated omission). The checks need engines whose
// answers follow from the prompt, as those of the engine stand-in do.
package load
