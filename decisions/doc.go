// Package decisions keeps the latest decisions of a node and their reasons in
// bounded memory: the placement decisions for each model, and the attempts and the
// outcome of each request. It can be queried by model and by request.
package decisions
