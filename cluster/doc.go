// Package cluster defines the identifiers and plain data types that all packages
// share: nodes, machines, models, replicas, inventories, orders and allotments.
// Apart from small accessors it has no behaviour, and it imports no other package
// of the project.
package cluster
