// Package placement turns a snapshot of one zone into a plan: which models
// are loaded, on which machines and how many replicas, each with its reasons.
package placement
