// Package check decides whether a run kept its promises, from what callers and workers
// observed. Every check is a function of the recorded history alone. Checks that depend
// on time apply only to nodes that no injected fault disturbed meanwhile, and their
// bounds are wide enough for a busy machine.
package check
