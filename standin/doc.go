// Package standin serves in-memory stand-ins of the platform's services and of
// model engines over HTTP, with fault injection, for tests, the demo and
// experiments.
package standin
