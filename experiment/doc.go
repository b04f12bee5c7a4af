// Package experiment describes scenarios, runs them in the simulator under different placement
// policies, and reports measurements.
//
// A scenario is a YAML file with a deployment, its models and its traffic. Unknown keys and invalid
// values are errors that name their path. All random choices derive from the seed, so equal
// scenarios and seeds give equal runs on every machine.
package experiment
