// Package experiment describes scenarios, runs them in the simulator under one
// policy after the other, and reports measurements.
//
// A scenario is a YAML file: a deployment, its models and its traffic. Unknown
// keys and impossible values are errors with their path. All random choices
// derive from the seed, so a scenario and a seed give the same run everywhere.
package experiment
