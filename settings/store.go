package settings

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

const (
	// DefaultHistoryLength is the number of accepted edits that the store keeps.
	DefaultHistoryLength = 512
	// maxCommitAttempts bounds the attempts of one Commit, which retries after a concurrent edit
	// or a lost response.
	maxCommitAttempts = 64
)

// ErrExists is returned by Initialize if a tree is stored already.
var ErrExists = errors.New("settings are initialized already")

// Store keeps the tree in the key-value service. Its methods are safe for concurrent use.
type Store struct {
	kv            keyvalue.Store
	historyLength int64
	now           func() time.Time
	newHistory    func() string

	mutex sync.Mutex
	// cached is the newest state read or written, nil before the first.
	cached *state
}

// state is the stored tree at one revision, with its kept history. It is immutable.
type state struct {
	head headRecord
	// modRevision is the modification revision of the head record, zero if there is none.
	modRevision int64
	tree        *Tree
	// entries is the kept history, in revision order.
	entries []Entry
	// obsolete holds entries that are still stored but no longer part of the history.
	obsolete []Entry
}

// StoreOption configures a Store.
type StoreOption func(*Store)

// WithHistoryLength sets the number of accepted edits to keep, at least 1.
func WithHistoryLength(length int) StoreOption {
	return func(s *Store) { s.historyLength = int64(max(1, length)) }
}

// WithClock sets the clock that names histories and gives the time of the entries written by
// Initialize and Restore.
func WithClock(now func() time.Time) StoreOption {
	return func(s *Store) { s.now = now }
}

// WithHistoryNames sets the function that names new histories. The names of later histories must
// sort after those of earlier ones.
func WithHistoryNames(name func() string) StoreOption {
	return func(s *Store) { s.newHistory = name }
}

// NewStore returns a store over the key-value service.
func NewStore(store keyvalue.Store, options ...StoreOption) *Store {
	s := &Store{kv: store, historyLength: DefaultHistoryLength, now: time.Now}
	s.newHistory = func() string { return s.now().UTC().Format(historyTimeLayout) + "-" + rand.Text() }
	for _, option := range options {
		option(s)
	}
	return s
}

// historyTimeLayout is the layout of the time at the start of a history name. Names sort by
// creation time, because nodes take the later of two histories.
const historyTimeLayout = "20060102T150405.000Z"

// Load reads the current tree. Before the first edit it returns the empty tree and a zero stamp.
// Errors of the service are *verdict.Error.
func (s *Store) Load(ctx context.Context) (*Tree, Stamp, error) {
	current, err := s.refresh(ctx)
	if err != nil {
		return nil, Stamp{}, err
	}
	return current.tree, current.head.stamp(), nil
}

// EntriesAfter returns the accepted edits after the revision, in order. For a revision before the
// kept history it returns all kept edits.
func (s *Store) EntriesAfter(ctx context.Context, revision int64) ([]Entry, error) {
	current, err := s.refresh(ctx)
	if err != nil {
		return nil, err
	}
	return current.entriesAfter(revision), nil
}

// Find returns the accepted edit with the ID, and false if the kept history has none.
func (s *Store) Find(ctx context.Context, id string) (Entry, bool, error) {
	current, err := s.refresh(ctx)
	if err != nil {
		return Entry{}, false, err
	}
	entry, found := current.findEntry(id)
	return entry, found, nil
}

// findEntry returns the kept entry with the edit ID.
func (s *state) findEntry(id string) (Entry, bool) {
	for i := len(s.entries) - 1; i >= 0; i-- {
		if s.entries[i].Edit.ID == id {
			return s.entries[i], true
		}
	}
	return Entry{}, false
}

func (s *state) entriesAfter(revision int64) []Entry {
	for i := range s.entries {
		if s.entries[i].Revision > revision {
			return s.entries[i:]
		}
	}
	return nil
}

// ErrRevisionGone is returned for a revision that is older than the kept history or does not exist
// yet.
var ErrRevisionGone = errors.New("the revision is not in the kept history")

// TreeAt returns the tree at a revision of the kept history.
func (s *Store) TreeAt(ctx context.Context, revision int64) (*Tree, error) {
	current, err := s.refresh(ctx)
	if err != nil {
		return nil, err
	}
	return current.treeAt(revision)
}

// treeAt returns the tree at the revision, by undoing all later entries.
func (s *state) treeAt(revision int64) (*Tree, error) {
	if revision > s.head.Revision || revision < s.head.Oldest-1 || revision < 0 {
		return nil, ErrRevisionGone
	}
	tree := s.tree
	for i := len(s.entries) - 1; i >= 0 && s.entries[i].Revision > revision; i-- {
		var err error
		if tree, err = tree.Apply(Edit{Changes: s.entries[i].Undo}); err != nil {
			return nil, err
		}
	}
	return tree, nil
}

// Initialize stores the first tree of a new history as revision 1. If a tree is stored already, it
// returns ErrExists and the stamp of that tree.
func (s *Store) Initialize(ctx context.Context, tree *Tree, author string) (Stamp, error) {
	current, err := s.refresh(ctx)
	if err != nil {
		return Stamp{}, err
	}
	if current.modRevision != 0 {
		return current.head.stamp(), ErrExists
	}
	edit := Edit{ID: rand.Text(), Author: author, Message: "initial tree", At: s.now().UTC(), Changes: tree.Diff(EmptyTree())}
	if len(edit.Changes) == 0 {
		edit.Changes = noOpChanges()
	}
	entry, err := s.Commit(ctx, edit)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		_, stamp, loadErr := s.Load(ctx)
		return stamp, errors.Join(ErrExists, loadErr)
	}
	if err != nil {
		return Stamp{}, err
	}
	_, stamp, err := s.Load(ctx)
	if err == nil && entry.Revision != 1 {
		err = ErrExists
	}
	return stamp, err
}

// Commit stores the edit as the next revision. An edit whose ID is in the history is not applied
// again; Commit returns its entry.
//
// An edit made from an older revision is accepted if nothing that it touches has changed since;
// otherwise the error is a *ConflictError. A ValidationErrors means that the edit itself is
// invalid. A *verdict.Error with CodeOutcomeUnknown means that the edit may have taken effect:
// commit it again, unchanged, or look it up by Find.
func (s *Store) Commit(ctx context.Context, edit Edit) (Entry, error) {
	unknown := false
	for range maxCommitAttempts {
		entry, outcome, err := s.tryCommit(ctx, edit)
		switch {
		case outcome == committed:
			return entry, err
		case outcome == resultUnknown:
			unknown = true
		case err != nil && unknown && verdict.CodeOf(err) != verdict.CodeInternal:
			return Entry{}, outcomeUnknown(edit.ID, err)
		case err != nil:
			return Entry{}, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	if unknown {
		return Entry{}, outcomeUnknown(edit.ID, ctx.Err())
	}
	return Entry{}, verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeUnavailable, "other edits were faster too often; the edit did not take effect")
}

func outcomeUnknown(id string, cause error) error {
	return verdict.Wrap(cause, verdict.MayHaveRun, verdict.CodeOutcomeUnknown,
		"the answer to edit "+id+" was lost and it may have taken effect; give it again unchanged, or look it up by its id")
}
