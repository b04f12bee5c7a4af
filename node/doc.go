// Package node composes the decision cores of one valveslip process: membership,
// settings replication, routing and control of a zone. The composition is
// deterministic and has no clock, network or goroutines; package shell runs it as a
// process.
package node
