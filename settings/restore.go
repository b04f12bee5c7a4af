package settings

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

// restoreAuthor is the author of entries made by Restore.
const restoreAuthor = "valveslip"

// Behind reports whether the stamp is of the same history as another, or of
// none, and older. What is stored is never behind what is in force on a node,
// unless the key-value service lost accepted edits, for instance because it was
// restored from a backup.
func (s Stamp) Behind(other Stamp) bool {
	return s.Revision < other.Revision && (s.History == "" || s.History == other.History)
}

// Restore stores a tree that is in force when what is stored is behind it, so
// that accepted edits that the key-value service lost stay in force and new
// ones follow them. It does nothing otherwise. The restored tree becomes the
// next revision after its stamp; the history before it is cut off, because it
// is not whole.
func (s *Store) Restore(ctx context.Context, tree *Tree, stamp Stamp) error {
	if tree.Digest() != stamp.Digest {
		return eris.New("the tree to restore does not fit its stamp")
	}
	current, err := s.refresh(ctx)
	if err != nil {
		return err
	}
	if !current.head.stamp().Behind(stamp) {
		return nil
	}
	next, operations, err := s.restored(current, tree, stamp)
	if err != nil {
		return err
	}
	result, err := s.kv.Txn(ctx, keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: headKey, ModRevision: current.modRevision}},
		Operations: operations,
	})
	switch {
	case err != nil:
		// A second call finds the restored tree or restores it again; nothing
		// of the operator's edit was done yet.
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "the settings in force could not be restored to the key-value service")
	case result.Succeeded:
		next.modRevision = result.Revision
		s.remember(next)
	}
	return nil
}

// restored returns the state after a restore and the operations that lead to
// it.
func (s *Store) restored(current *state, tree *Tree, stamp Stamp) (*state, []keyvalue.Operation, error) {
	record := head{
		Layout: layoutVersion, History: stamp.History,
		Revision: stamp.Revision + 1, Digest: stamp.Digest, Oldest: stamp.Revision + 1,
	}
	edit := Edit{
		ID: fmt.Sprintf("restore-%d-%x", record.Revision, stamp.Digest), Author: restoreAuthor, At: s.now().UTC(),
		BaseRevision: stamp.Revision, Changes: noChange(),
		Message: fmt.Sprintf("the key-value service fell back from revision %d to %d; the tree in force is stored again", stamp.Revision, current.head.Revision),
	}
	entry := Entry{Revision: record.Revision, Digest: record.Digest, Edit: edit}
	operations, err := chunkOperations(tree, changedChunks(current.tree, tree))
	if err != nil {
		return nil, nil, err
	}
	written, err := entryOperations(entry)
	if err != nil {
		return nil, nil, err
	}
	entry.parts = len(written)
	operations = append(operations, written...)
	operations = append(operations, keyvalue.Operation{Key: headKey, Value: encodeJSON(record)})
	next := &state{head: record, tree: tree, entries: []Entry{entry}, stale: append(current.stale, current.entries...)}
	return next, operations, nil
}

// noChange is for entries that leave the tree as it is, as an edit wants a
// change.
func noChange() []Change { return []Change{{Path: RootPath, Unset: []string{KeyBase}}} }
