package settings

import (
	"context"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

// restoreAuthor is the author of the entries that Restore writes.
const restoreAuthor = "valveslip"

// Behind reports whether the stamp is older than other and either of the same history or without a
// history. The stored tree is behind the tree in force on a node only if the key-value service
// lost accepted edits, for example when it was restored from a backup.
func (s Stamp) Behind(other Stamp) bool {
	return s.Revision < other.Revision && (s.History == "" || s.History == other.History)
}

// Restore stores the tree in force if the stored tree is behind it, so that accepted edits that
// the key-value service lost stay in force and new edits build on them. Otherwise it does nothing.
// The restored tree becomes the revision after its stamp. The earlier history is dropped, because
// it has a gap.
func (s *Store) Restore(ctx context.Context, tree *Tree, stamp Stamp) error {
	if tree.Digest() != stamp.Digest {
		return eris.New("the tree to restore does not match the digest in its stamp")
	}
	current, err := s.refresh(ctx)
	if err != nil {
		return err
	}
	if !current.head.stamp().Behind(stamp) {
		return nil
	}
	next, operations, err := s.planRestore(current, tree, stamp)
	if err != nil {
		return err
	}
	result, err := s.kv.Txn(ctx, keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: headKey, ModRevision: keyvalue.Revision(current.modRevision)}},
		Operations: operations,
	})
	switch {
	case err != nil:
		// The verdict is NotRun although the response may be lost: nothing of the operator's edit
		// was done yet, and a second call either finds the tree restored or restores it again.
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "the settings in force could not be restored to the key-value service")
	case result.Succeeded:
		next.modRevision = int64(result.Revision)
		s.cacheState(next)
	}
	return nil
}

// planRestore returns the state after the restore and the operations that write it.
func (s *Store) planRestore(current *state, tree *Tree, stamp Stamp) (*state, []keyvalue.Operation, error) {
	record := headRecord{
		Layout: layoutVersion, History: stamp.History,
		Revision: stamp.Revision + 1, Digest: stamp.Digest, Oldest: stamp.Revision + 1,
	}
	edit := Edit{
		ID: fmt.Sprintf("restore-%d-%x", record.Revision, stamp.Digest), Author: restoreAuthor, At: s.now().UTC(),
		BaseRevision: stamp.Revision, Changes: noOpChanges(),
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
	next := &state{head: record, tree: tree, entries: []Entry{entry}, obsolete: append(current.obsolete, current.entries...)}
	return next, operations, nil
}

// noOpChanges returns a change without effect, for entries that leave the tree as it is: an edit
// must have at least one change.
func noOpChanges() []Change { return []Change{{Path: RootPath, Unset: []string{KeyBase}}} }
