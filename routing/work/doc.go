// Package work estimates the prefill and decoding times of requests on model engines.
//
// An engine prefills a prompt and then decodes its answer. The prefill time is modelled as
//
//	factor(model) x (tokens x a + token pairs x b) / speed(engine)
//
// The rates a and b are learned for a service, the factor for a base model and the speed for an
// engine, all from the times between the send of an attempt and its first event. A speed is
// relative to the reference engine, whose speed is the median of the service; a factor is
// relative to the reference model, whose factor is the median over requests.
//
// Nodes often misjudge the other work on an engine and the prompts in its cache, so all estimates
// are robust against outliers. The rates a and b minimise the absolute relative error over the
// last minute. A factor is the median over the model's last observations. A speed is the weighted
// median over the engine's last observations, where an observation weighs more the smaller the
// part of its time is that other work took. Factors and speeds start at 1 and move away from it
// only as observations outweigh the prior. An engine that slows down is detected from its last
// five observations within seconds, and so is its recovery; two outliers among the five have no
// effect.
//
// The package is pure: it takes the time with each observation, starts no goroutine, and equal
// observations in equal order give equal estimates.
package work
