// Package node composes the cores into one valveslip process: a pure
// composition and the shell that gives it clock, network and listeners.
package node
