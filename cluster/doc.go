// Package cluster holds the identifiers and plain data types that all packages
// share: nodes, machines, models, replicas, inventories, orders and allotments.
// It has no behaviour beyond small accessors and depends on nothing.
package cluster
