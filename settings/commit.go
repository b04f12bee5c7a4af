package settings

import (
	"bytes"
	"context"
	"fmt"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

// commitOutcome is the outcome of one attempt to commit an edit.
type commitOutcome uint8

const (
	// notCommitted means that nothing was written; the error states the reason.
	notCommitted commitOutcome = iota
	committed
	// headChanged means that another edit replaced the head record first; nothing was written.
	headChanged
	// resultUnknown means that the response was lost, so the transaction may have taken effect.
	resultUnknown
)

// tryCommit tries once to store the edit as the next revision. It is safe to call again after a
// lost response: both transactions compare the same revision of the head record, so at most one of
// them takes effect, and the edit ID in the history tells whether the first one did.
func (s *Store) tryCommit(ctx context.Context, edit Edit) (Entry, commitOutcome, error) {
	current, err := s.refresh(ctx)
	if err != nil {
		return Entry{}, notCommitted, err
	}
	if entry, found := current.findEntry(edit.ID); found {
		return entry, committed, entry.verifySameEdit(edit)
	}
	next, operations, err := s.planCommit(current, edit)
	if err != nil {
		return Entry{}, notCommitted, err
	}
	result, err := s.kv.Txn(ctx, keyvalue.Transaction{
		Compares:   []keyvalue.Compare{{Key: headKey, ModRevision: keyvalue.Revision(current.modRevision)}},
		Operations: operations,
	})
	switch {
	case err != nil && verdict.Of(err) == verdict.NotRun:
		return Entry{}, notCommitted, err
	case err != nil:
		return Entry{}, resultUnknown, err
	case !result.Succeeded:
		return Entry{}, headChanged, nil
	}
	next.modRevision = int64(result.Revision)
	s.cacheState(next)
	return next.entries[len(next.entries)-1], committed, nil
}

// verifySameEdit returns an error if the ID of the stored edit was reused for a different edit.
func (e *Entry) verifySameEdit(edit Edit) error {
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

// planCommit returns the state after the edit and the operations that write it.
func (s *Store) planCommit(current *state, edit Edit) (*state, []keyvalue.Operation, error) {
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
	next := &state{tree: tree, obsolete: current.obsolete, entries: append(current.entries[:len(current.entries):len(current.entries)], entry)}
	operations = append(operations, next.prune(&record, s.historyLength)...)
	next.head = record
	operations = append(operations, keyvalue.Operation{Key: headKey, Value: encodeJSON(record)})
	return next, operations, nil
}

// maxPrunedPerEdit bounds the history entries that one edit deletes.
const maxPrunedPerEdit = 4

// prune removes obsolete entries first, then the oldest entries beyond the history length, at most
// maxPrunedPerEdit of them, and returns the operations that delete them.
func (s *state) prune(record *headRecord, length int64) []keyvalue.Operation {
	var operations []keyvalue.Operation
	for range maxPrunedPerEdit {
		var dropped Entry
		switch {
		case len(s.obsolete) > 0:
			dropped, s.obsolete = s.obsolete[0], s.obsolete[1:]
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

// checkBase returns a ConflictError for an edit that was made from an older revision and touches a
// part of the tree that has changed since, or whose base is not in the kept history.
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
