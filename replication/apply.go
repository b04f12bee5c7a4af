package replication

import (
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/wire"
)

// Errors of a Rejected effect.
var (
	// ErrDigest says that a tree is not the one its stamp names.
	ErrDigest = eris.New("digest of the tree differs from its stamp")
	// ErrOlderHistory says that the key-value service holds a history that is
	// older than the one in force. It was set back; an operator must begin a
	// new history there.
	ErrOlderHistory = eris.New("the key-value service holds an older history than the one in force")
	// ErrSetBack says that the key-value service holds other edits at revisions
	// that are in force already. It was set back within its history; an
	// operator must begin a new history there.
	ErrSetBack = eris.New("the key-value service holds other edits at revisions that are in force")
)

// load takes the configuration of the key-value service. One with the stamp
// held here but another digest replaces it: the service decides which edit was
// accepted.
func (c *Core) load(event Loaded) {
	order := Compare(event.Stamp, c.stamp)
	switch {
	case event.Stamp.History < c.stamp.History:
		c.emit(Rejected{Stamp: event.Stamp, Err: ErrOlderHistory})
	case order < 0 && c.contradicts(event.Stamp.Revision, event.Stamp.Digest):
		c.emit(Rejected{Stamp: event.Stamp, Err: ErrSetBack})
	}
	if order < 0 || (order == 0 && event.Stamp.Digest == c.stamp.Digest) {
		return
	}
	c.replace(event.Tree, event.Stamp)
}

// replace puts a whole tree in force.
func (c *Core) replace(tree *settings.Tree, stamp settings.Stamp) bool {
	if tree.Digest() != stamp.Digest {
		c.emit(Rejected{Stamp: stamp, Err: ErrDigest})
		return false
	}
	if !c.enforce(tree, stamp) {
		return false
	}
	c.backlog.clear()
	return true
}

// enforce compiles a tree and puts it in force.
func (c *Core) enforce(tree *settings.Tree, stamp settings.Stamp) bool {
	snapshot, err := c.config.Compile(tree, stamp)
	if err != nil {
		c.emit(Rejected{Stamp: stamp, Err: err})
		return false
	}
	c.tree, c.stamp, c.snapshot, c.encoded = tree, stamp, snapshot, nil
	c.emit(InForce{Snapshot: snapshot, Tree: tree})
	return true
}

// accept takes edits of the key-value service.
func (c *Core) accept(now time.Time, event Accepted) {
	entries := make([]wire.ConfigurationEntry, 0, len(event.Entries))
	for i := range event.Entries {
		entry := &event.Entries[i]
		entries = append(entries, wire.ConfigurationEntry{
			Revision: entry.Revision, Digest: entry.Digest, Data: entry.Edit.Encode(),
		})
	}
	if c.follow(now, event.History, entries) != followed {
		c.emit(LoadNeeded{})
	}
}

// outcome of following entries.
type outcome uint8

const (
	// followed: they are in force, or were already.
	followed outcome = iota
	// detached: they do not connect to the configuration held here.
	detached
	// broken: they connect but do not lead to the digest they name, or the
	// result cannot be put in force.
	broken
)

// follow applies the entries after the own revision, all of them or none, and
// compiles once.
func (c *Core) follow(now time.Time, history string, entries []wire.ConfigurationEntry) outcome {
	if len(entries) == 0 || history < c.stamp.History {
		return followed
	}
	if history != c.stamp.History || c.tree == nil {
		return detached
	}
	for len(entries) > 0 && entries[0].Revision <= c.stamp.Revision {
		if c.contradicts(entries[0].Revision, entries[0].Digest) {
			return detached
		}
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return followed
	}
	tree, result, err := c.replay(entries)
	last := entries[len(entries)-1]
	stamp := settings.Stamp{History: history, Revision: last.Revision, Digest: last.Digest}
	if err != nil {
		c.emit(Rejected{Stamp: stamp, Err: err})
	}
	if result != followed {
		return result
	}
	before := c.stamp.Revision
	if !c.enforce(tree, stamp) {
		return broken
	}
	c.backlog.add(entries)
	c.push(now, before)
	return followed
}

// contradicts reports whether another digest than the given one is known for a
// revision of the history held here.
func (c *Core) contradicts(revision int64, digest uint64) bool {
	if revision == c.stamp.Revision {
		return digest != c.stamp.Digest
	}
	known, ok := c.backlog.after(revision - 1)
	return ok && len(known) > 0 && known[0].Digest != digest
}

// replay applies consecutive entries to the tree held here and checks the
// digest of each.
func (c *Core) replay(entries []wire.ConfigurationEntry) (*settings.Tree, outcome, error) {
	tree, revision := c.tree, c.stamp.Revision
	for i := range entries {
		entry := &entries[i]
		if entry.Revision != revision+1 {
			return nil, detached, nil
		}
		edit, err := settings.DecodeEdit(entry.Data)
		if err != nil {
			return nil, broken, err
		}
		if tree, err = tree.Apply(edit); err != nil {
			return nil, broken, err
		}
		if tree.Digest() != entry.Digest {
			return nil, broken, ErrDigest
		}
		revision = entry.Revision
	}
	return tree, followed, nil
}

// backlog keeps the last accepted edits, oldest first.
type backlog struct {
	entries              []wire.ConfigurationEntry
	bytes                int
	maxEntries, maxBytes int
}

// add appends entries that follow the last one and drops the oldest ones that
// exceed the bounds.
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

// after returns the entries after revision, or false when they do not reach
// back that far.
func (b *backlog) after(revision int64) ([]wire.ConfigurationEntry, bool) {
	if len(b.entries) == 0 || b.entries[0].Revision > revision+1 || b.entries[len(b.entries)-1].Revision < revision {
		return nil, false
	}
	return b.entries[revision+1-b.entries[0].Revision:], true
}
