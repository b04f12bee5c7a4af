// Package recovery measures, in the simulator, how long the system takes from a
// fault of its control until it controls again: a controller that dies, is
// paused past its lease or loses the key-value service's answers, an engine that
// dies or a machine that is reclaimed in the middle of a load, and an hour
// without the key-value service during which a third of the nodes restart.
package recovery
