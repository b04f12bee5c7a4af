package shell

import (
	"crypto/sha256"
	"slices"

	"github.com/valveslip/valveslip/catalog"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/wire"
)

// supersedes reports whether a configuration that was read later than the one in force replaces it. An
// older version, which a store that came back from a copy may have, never does. Another content of the
// same version does, unless it was in force before: the store lost the first content, which its author
// never knew to be taken.
func (f *follower) supersedes(compiled *catalog.Compiled, value []byte) bool {
	known := f.compiled.Load()
	digest := sha256.Sum256(value)
	switch {
	case known == nil || compiled.Version > known.Version:
		f.versionContents = [][sha256.Size]byte{digest}
		return true
	case compiled.Version < known.Version || slices.Contains(f.versionContents, digest):
		return false
	}
	f.versionContents = append(f.versionContents, digest)
	return true
}

// applyConfiguration puts a configuration of the store in force.
func (f *follower) applyConfiguration(pair *wire.StoreChange) {
	if pair == nil || pair.Revision <= f.configurationRevision {
		return
	}
	if f.putInForce(pair.Value, pair.Revision) {
		f.configurationRevision = pair.Revision
	}
}

// putInForce puts a configuration in force unless that is newer, and reports whether it is a configuration. If
// it can't be decoded or compiled, the previous one stays in force.
func (f *follower) putInForce(value []byte, revision keyvalue.Revision) bool {
	began := f.Now()
	configuration, err := f.options.Codec.DecodeConfiguration(value)
	var compiled *catalog.Compiled
	if err == nil {
		compiled, err = configuration.Compile()
	}
	if err != nil {
		f.metrics.unreadableRecords.WithLabelValues(unreadableConfiguration).Inc()
		f.options.Log.Write(eventlog.ConfigurationRejected{Revision: revision, Cause: err.Error()})
		return false
	}
	if !f.supersedes(compiled, value) {
		return true
	}
	// The core must know a service before a request for it can arrive.
	f.step(fleet.ConfigurationRead{Compiled: compiled, Value: value})
	f.compiled.Store(compiled)
	f.requestKeyProof(compiled)
	f.options.Log.Write(eventlog.ConfigurationInForce{
		Version: compiled.Version, Routes: len(compiled.Routes), Services: len(compiled.Services), Took: f.Now().Sub(began),
	})
	return true
}

// configurationReceived queues a configuration of another node and drops it if the queue is full.
func (f *follower) configurationReceived(value []byte) {
	select {
	case f.configurations <- value:
	default:
	}
}
