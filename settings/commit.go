package settings

import (
	"bytes"
	"context"
	"fmt"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

// outcome of one attempt to commit.
type outcome uint8

const (
	// notCommitted comes with an error that says why.
	notCommitted outcome = iota
	committed
	// raced means that another edit was faster; nothing was written.
	raced
	// answerLost means that the transaction may have taken effect.
	answerLost
)

// attempt tries once to make the edit the next revision. Trying again after a
// lost answer is safe: both transactions compare the same head, so only one of
// them can take effect, and once the head has moved the id tells which.
func (s *Store) attempt(ctx context.Context, edit Edit) (Entry, outcome, error) {
	current, err := s.refresh(ctx)
	if err != nil {
		return Entry{}, notCommitted, err
	}
	if entry, found := current.find(edit.ID); found {
		return entry, committed, entry.checkSame(edit)
	}
	next, operations, err := s.next(current, edit)
	if err != nil {
		return Entry{}, notCommitted, err
	}
	result, err := s.kv.Txn(ctx, keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: headKey, ModRevision: current.modRevision}},
		Operations: operations,
	})
	switch {
	case err != nil && verdict.Of(err) == verdict.NotRun:
		return Entry{}, notCommitted, err
	case err != nil:
		return Entry{}, answerLost, err
	case !result.Succeeded:
		return Entry{}, raced, nil
	}
	next.modRevision = result.Revision
	s.remember(next)
	return next.entries[len(next.entries)-1], committed, nil
}

// checkSame refuses an id that was used for another edit.
func (e *Entry) checkSame(edit Edit) error {
	var problems ValidationErrors
	for i := range edit.Changes {
		edit.Changes[i] = edit.Changes[i].normalise(&problems)
	}
	if len(problems) == 0 && bytes.Equal(encodeJSON(edit.Changes), encodeJSON(e.Edit.Changes)) {
		return nil
	}
	return ValidationErrors{{Path: RootPath, Key: "id",
		Reason: fmt.Sprintf("the id %s was used for another edit, revision %d", edit.ID, e.Revision)}}
}

// next returns the state after the edit and the operations that lead to it.
func (s *Store) next(current *state, edit Edit) (*state, []keyvalue.Operation, error) {
	if err := current.checkBase(&edit); err != nil {
		return nil, nil, err
	}
	edit, tree, err := current.tree.Validate(edit)
	if err != nil {
		return nil, nil, err
	}
	record := current.head
	record.Layout = layoutVersion
	record.Revision++
	record.Digest = tree.Digest()
	if record.History == "" {
		record.History, record.Oldest = s.newHistory(), 1
	}
	operations, err := chunkOperations(tree, changedChunks(current.tree, tree))
	if err != nil {
		return nil, nil, err
	}
	entry := Entry{Revision: record.Revision, Digest: record.Digest, Edit: edit, Undo: current.tree.Diff(tree)}
	written, err := entryOperations(entry)
	if err != nil {
		return nil, nil, err
	}
	entry.parts = len(written)
	operations = append(operations, written...)
	next := &state{tree: tree, stale: current.stale, entries: append(current.entries[:len(current.entries):len(current.entries)], entry)}
	operations = append(operations, next.prune(&record, s.historyLength)...)
	next.head = record
	operations = append(operations, keyvalue.Operation{Key: headKey, Value: encodeJSON(record)})
	return next, operations, nil
}

// maxPruned bounds the entries that one edit removes from the history.
const maxPruned = 4

// prune drops stale entries, then the oldest beyond the length, and returns the
// deletions.
func (s *state) prune(record *head, length int64) []keyvalue.Operation {
	var operations []keyvalue.Operation
	for range maxPruned {
		var dropped Entry
		switch {
		case len(s.stale) > 0:
			dropped, s.stale = s.stale[0], s.stale[1:]
		case int64(len(s.entries)) > length:
			dropped, s.entries = s.entries[0], s.entries[1:]
			record.Oldest = dropped.Revision + 1
		default:
			return operations
		}
		for part := range dropped.parts {
			operations = append(operations, keyvalue.Operation{Key: fmt.Sprint(historyKey(dropped.Revision), part), Delete: true})
		}
	}
	return operations
}

// checkBase refuses an edit from an older revision that touches what has
// changed since.
func (s *state) checkBase(edit *Edit) error {
	base := edit.BaseRevision
	if edit.BaseHistory != "" && edit.BaseHistory != s.head.History {
		return &ConflictError{Base: base, Current: s.head.Revision}
	}
	if base == s.head.Revision {
		return nil
	}
	if base > s.head.Revision || base < s.head.Oldest-1 {
		return &ConflictError{Base: base, Current: s.head.Revision}
	}
	if conflicts := edit.conflicts(s.entriesAfter(base)); len(conflicts) > 0 {
		return &ConflictError{Base: base, Current: s.head.Revision, Conflicts: conflicts}
	}
	return nil
}
