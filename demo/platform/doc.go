// Package platform runs a small deployment on the users' platform's dialect over
// loopback: a stand-in of its store, workers of a plain and of a model service,
// and nodes as they run on the platform.
package platform
