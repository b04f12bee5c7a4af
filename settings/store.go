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
	// DefaultHistoryLength is how many accepted edits the store keeps.
	DefaultHistoryLength = 512
	// maxCommitAttempts bounds how often one Commit starts over because other
	// writers were faster or answers were lost.
	maxCommitAttempts = 64
)

// ErrExists is returned by Initialize when there is a tree already.
var ErrExists = errors.New("settings are initialized already")

// Store keeps the tree in the key-value service. Its methods are safe for
// concurrent use.
type Store struct {
	kv            keyvalue.Store
	historyLength int64
	now           func() time.Time
	newHistory    func() string

	mutex sync.Mutex
	// cached is the newest state read or written, nil before the first.
	cached *state
}

// state is the stored tree at one revision with its kept history. It is
// immutable.
type state struct {
	head head
	// modRevision of the head record, zero when there is none.
	modRevision int64
	tree        *Tree
	// entries kept, in revision order.
	entries []Entry
	// stale entries are stored but belong to the history no more.
	stale []Entry
}

// StoreOption changes a Store.
type StoreOption func(*Store)

// WithHistoryLength keeps the given number of accepted edits, at least 1.
func WithHistoryLength(length int) StoreOption {
	return func(s *Store) { s.historyLength = int64(max(1, length)) }
}

// WithClock sets the clock that stamps the first entry of a history.
func WithClock(now func() time.Time) StoreOption {
	return func(s *Store) { s.now = now }
}

// WithHistoryNames sets how new histories are named. Names of later histories
// must sort after those of earlier ones.
func WithHistoryNames(name func() string) StoreOption {
	return func(s *Store) { s.newHistory = name }
}

// NewStore returns a store over the key-value service.
func NewStore(store keyvalue.Store, options ...StoreOption) *Store {
	s := &Store{kv: store, historyLength: DefaultHistoryLength, now: time.Now}
	s.newHistory = func() string { return s.now().UTC().Format(historyTime) + "-" + rand.Text() }
	for _, option := range options {
		option(s)
	}
	return s
}

// historyTime is how the name of a history begins, so that names sort by the
// time of their making: nodes take the later of two histories.
const historyTime = "20060102T150405.000Z"

// Load reads the current tree. Before any edit it is empty with a zero stamp.
// Errors of the service are *verdict.Error.
func (s *Store) Load(ctx context.Context) (*Tree, Stamp, error) {
	current, err := s.refresh(ctx)
	if err != nil {
		return nil, Stamp{}, err
	}
	return current.tree, current.head.stamp(), nil
}

// EntriesAfter returns the accepted edits after the revision, in order. A
// revision before the kept history gives what is kept.
func (s *Store) EntriesAfter(ctx context.Context, revision int64) ([]Entry, error) {
	current, err := s.refresh(ctx)
	if err != nil {
		return nil, err
	}
	return current.entriesAfter(revision), nil
}

// Find returns the accepted edit with the id, or false when the kept history
// has none.
func (s *Store) Find(ctx context.Context, id string) (Entry, bool, error) {
	current, err := s.refresh(ctx)
	if err != nil {
		return Entry{}, false, err
	}
	entry, found := current.find(id)
	return entry, found, nil
}

// find returns the kept entry with the edit id.
func (s *state) find(id string) (Entry, bool) {
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

// ErrRevisionGone is returned for a revision that the kept history does not
// reach, or that does not exist yet.
var ErrRevisionGone = errors.New("the revision is not in the kept history")

// TreeAt returns the tree as it was at a revision of the kept history.
func (s *Store) TreeAt(ctx context.Context, revision int64) (*Tree, error) {
	current, err := s.refresh(ctx)
	if err != nil {
		return nil, err
	}
	return current.at(revision)
}

// at undoes the entries after the revision.
func (s *state) at(revision int64) (*Tree, error) {
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

// Initialize stores the first tree of a new history as revision 1. It returns
// ErrExists, and the stamp found, when there is a tree already.
func (s *Store) Initialize(ctx context.Context, tree *Tree, author string) (Stamp, error) {
	current, err := s.refresh(ctx)
	if err != nil {
		return Stamp{}, err
	}
	if current.modRevision != 0 {
		return current.head.stamp(), ErrExists
	}
	edit := Edit{ID: rand.Text(), Author: author, Message: "initial tree", At: s.now().UTC(), Changes: tree.Diff(Empty())}
	if len(edit.Changes) == 0 {
		edit.Changes = noChange()
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

// Commit makes the edit the next revision. An edit whose id is in the history
// is not applied again; its entry is returned.
//
// An edit from an older revision is accepted when nothing it touches has
// changed since, else the error is a *ConflictError. A ValidationErrors says
// that the edit is wrong by itself. A *verdict.Error with CodeOutcomeUnknown
// says that it may have taken effect: commit it again, unchanged, or Find it.
func (s *Store) Commit(ctx context.Context, edit Edit) (Entry, error) {
	unknown := false
	for range maxCommitAttempts {
		entry, outcome, err := s.attempt(ctx, edit)
		switch {
		case outcome == committed:
			return entry, err
		case outcome == answerLost:
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
