// Package metadata is a stand-in of the metadata store of the users' platform.
// It serves the platform's HTTP API over the state of package standin/keyvalue,
// with fault injection.
package metadata
