// Package engine is a stand-in of a model engine. State models the engine without
// I/O and takes the time as an argument: orders with fencing tokens, load times
// by cache tier, memory, continuous batching with a priority queue, a bounded
// prefix cache and delayed load reports. Simulations use it directly. Server adds
// the OpenAI HTTP API, the control API and fault injection.
//
// The text of an answer depends only on the model and the prompt, so a caller can
// check that it received the complete answer to its own request.
package engine
