// Package fleet composes the deciding cores for deployments whose nodes each
// read the platform's store themselves: configuration, machines and other nodes
// are known to every node from its own watch, and nodes tell each other only what
// models their callers wait for and what became of orders. Any node may hold the
// lease under which orders are given.
//
// The composition is a pure core like package node: it takes the time and an
// event and returns effects, and a shell carries them out.
package fleet
