// Package decisions keeps the latest decisions of a node with their reasons, in
// bounded memory: what was planned for each model, and where each request went
// and how it ended. It answers by model and by request.
package decisions
