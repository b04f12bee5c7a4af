// Package platform runs a small deployment over loopback that speaks the protocol
// of the users' platform: a stand-in of the platform's metadata store, workers of
// a plain service and of a model service, and nodes.
package platform
