// Package exchange pairs the answers of other nodes with the questions they
// belong to. Messages between nodes may be lost, so every wait is bounded by
// the asker.
package exchange
