// Package simulation runs whole deployments on a virtual clock from one seed
// and checks every promise at every event.
package simulation
