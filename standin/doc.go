// Package standin provides small stand-ins of the platform and of model
// engines, with fault injection, for tests, the demo and experiments.
package standin
