// Package engine is a stand-in of a model engine. State is the pure part: it
// takes the time with each call and models fenced orders, loading by cache
// tier, memory, continuous batching with a priority queue, a limited prefix
// cache and lagged reports; simulations use it directly. Server adds the OpenAI
// HTTP API, the control API and fault injection.
//
// The text of an answer is a function of the model and the prompt alone, so a
// caller can check that it got the whole answer to its own request.
package engine
