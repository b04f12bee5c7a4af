// Package relay runs the attempts of one admitted request against engines and
// relays the answer to the caller. It takes every decision from a Decider, the
// routing core behind it, and reports every outcome back; it decides nothing
// itself but how to read an answer whole.
package relay
