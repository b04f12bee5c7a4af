package replication

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// Errors of a Rejected effect.
var (
	// ErrDigestMismatch says that the digest of a tree is not the one in its stamp.
	ErrDigestMismatch = eris.New("digest of the tree differs from its stamp")
	// ErrOlderHistory says that the key-value service holds an older history than the
	// one in force, as after a restore from a backup. An operator must begin a new
	// history there.
	ErrOlderHistory = eris.New("the key-value service holds an older history than the one in force")
	// ErrRevisionConflict says that the key-value service holds other edits than this
	// node at revisions that are in force already, as after a restore from a backup of
	// the same history. An operator must begin a new history there.
	ErrRevisionConflict = eris.New("the key-value service holds other edits at revisions that are in force")
)

// receiveLoaded processes a configuration read from the key-value service. If it has the
// history and revision in force but another digest, it replaces the one in force: the
// service decides which edit was accepted.
func (c *Core) receiveLoaded(event Loaded) {
	order := Compare(event.Stamp, c.stamp)
	switch {
	case event.Stamp.History < c.stamp.History:
		c.emit(Rejected{Stamp: event.Stamp, Err: ErrOlderHistory})
	case order < 0 && c.conflictsWithKnown(event.Stamp.Revision, event.Stamp.Digest):
		c.emit(Rejected{Stamp: event.Stamp, Err: ErrRevisionConflict})
	}
	if order < 0 || (order == 0 && event.Stamp.Digest == c.stamp.Digest) {
		return
	}
	c.replaceTree(event.Tree, event.Stamp)
}

// replaceTree puts a whole tree in force and clears the backlog, whose edits do not lead
// to it. It reports whether the tree is in force.
func (c *Core) replaceTree(tree *settings.Tree, stamp settings.Stamp) bool {
	if tree.Digest() != stamp.Digest {
		c.emit(Rejected{Stamp: stamp, Err: ErrDigestMismatch})
		return false
	}
	if !c.activate(tree, stamp) {
		return false
	}
	c.backlog.clear()
	return true
}

// activate compiles a tree and puts it in force. It reports whether that succeeded.
func (c *Core) activate(tree *settings.Tree, stamp settings.Stamp) bool {
	snapshot, err := c.config.Compile(tree, stamp)
	if err != nil {
		c.emit(Rejected{Stamp: stamp, Err: err})
		return false
	}
	c.tree, c.stamp, c.snapshot, c.encodedTree = tree, stamp, snapshot, nil
	c.emit(InForce{Snapshot: snapshot, Tree: tree})
	return true
}

// receiveAccepted processes edits accepted by the key-value service.
func (c *Core) receiveAccepted(now time.Time, event Accepted) {
	entries := make([]wire.ConfigurationEntry, 0, len(event.Entries))
	for i := range event.Entries {
		entry := &event.Entries[i]
		entries = append(entries, wire.ConfigurationEntry{
			Revision: entry.Revision, Digest: entry.Digest, Data: entry.Edit.Encode(),
		})
	}
	if c.applyEntries(now, event.History, entries) != applied {
		c.emit(LoadNeeded{})
	}
}

// applyResult is the result of applying entries to the configuration in force.
type applyResult uint8

const (
	// applied means that the entries are in force, or were before.
	applied applyResult = iota
	// disconnected means that the entries do not follow the configuration in force.
	disconnected
	// invalid means that the entries follow the configuration in force but do not lead to
	// the digest that they state, or that the result cannot be put in force.
	invalid
)

// applyEntries applies the entries that are newer than the revision in force, either all of
// them or none, and pushes them to peers. It compiles the configuration once.
func (c *Core) applyEntries(now time.Time, history string, entries []wire.ConfigurationEntry) applyResult {
	if len(entries) == 0 || history < c.stamp.History {
		return applied
	}
	if history != c.stamp.History || c.tree == nil {
		return disconnected
	}
	for len(entries) > 0 && entries[0].Revision <= c.stamp.Revision {
		if c.conflictsWithKnown(entries[0].Revision, entries[0].Digest) {
			return disconnected
		}
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return applied
	}
	tree, result, err := c.replayEntries(entries)
	last := entries[len(entries)-1]
	stamp := settings.Stamp{History: history, Revision: last.Revision, Digest: last.Digest}
	if err != nil {
		c.emit(Rejected{Stamp: stamp, Err: err})
	}
	if result != applied {
		return result
	}
	previousRevision := c.stamp.Revision
	if !c.activate(tree, stamp) {
		return invalid
	}
	c.backlog.add(entries)
	c.pushEntries(now, previousRevision)
	return applied
}

// conflictsWithKnown reports whether a revision of the history in force is known to have
// another digest than the given one.
func (c *Core) conflictsWithKnown(revision int64, digest uint64) bool {
	if revision == c.stamp.Revision {
		return digest != c.stamp.Digest
	}
	entries, ok := c.backlog.after(revision - 1)
	return ok && len(entries) > 0 && entries[0].Digest != digest
}

// replayEntries applies consecutive entries to the tree in force, checks the digest after
// each of them, and returns the resulting tree.
func (c *Core) replayEntries(entries []wire.ConfigurationEntry) (*settings.Tree, applyResult, error) {
	tree, revision := c.tree, c.stamp.Revision
	for i := range entries {
		entry := &entries[i]
		if entry.Revision != revision+1 {
			return nil, disconnected, nil
		}
		edit, err := settings.DecodeEdit(entry.Data)
		if err != nil {
			return nil, invalid, err
		}
		if tree, err = tree.Apply(edit); err != nil {
			return nil, invalid, err
		}
		if tree.Digest() != entry.Digest {
			return nil, invalid, ErrDigestMismatch
		}
		revision = entry.Revision
	}
	return tree, applied, nil
}

// backlog holds the latest accepted edits, oldest first, within bounds on their number and
// size.
type backlog struct {
	entries              []wire.ConfigurationEntry
	bytes                int
	maxEntries, maxBytes int
}

// add appends entries, which must follow the last one, and drops the oldest ones beyond the
// bounds.
func (b *backlog) add(entries []wire.ConfigurationEntry) {
	for _, entry := range entries {
		b.entries = append(b.entries, entry)
		b.bytes += len(entry.Data)
	}
	drop := 0
	for drop < len(b.entries) && (len(b.entries)-drop > b.maxEntries || b.bytes > b.maxBytes) {
		b.bytes -= len(b.entries[drop].Data)
		drop++
	}
	clear(b.entries[:drop])
	b.entries = b.entries[drop:]
}

func (b *backlog) clear() { b.entries, b.bytes = nil, 0 }

// after returns the entries after revision, or false if the backlog does not reach back to
// it.
func (b *backlog) after(revision int64) ([]wire.ConfigurationEntry, bool) {
	if len(b.entries) == 0 || b.entries[0].Revision > revision+1 || b.entries[len(b.entries)-1].Revision < revision {
		return nil, false
	}
	return b.entries[revision+1-b.entries[0].Revision:], true
}
