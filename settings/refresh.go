package settings

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/keyvalue"
)

// maxCatchUpEntries bounds the entries read one by one. A larger gap is closed by reading the
// whole tree.
const maxCatchUpEntries = 16

// refresh returns the newest state. It reads the head record and then only the new entries, or the
// whole tree if the cached state cannot be brought up to date that way.
func (s *Store) refresh(ctx context.Context) (*state, error) {
	s.mutex.Lock()
	cached := s.cached
	s.mutex.Unlock()
	if cached == nil || cached.modRevision == 0 {
		return s.load(ctx)
	}
	pairs, _, err := s.kv.Range(ctx, headKey)
	if err != nil {
		return nil, err
	}
	record, modRevision, err := findHead(pairs)
	if err != nil {
		return nil, err
	}
	if modRevision == cached.modRevision && record == cached.head {
		return cached, nil
	}
	behind := record.Revision - cached.head.Revision
	if record.History == cached.head.History && behind > 0 && behind <= maxCatchUpEntries {
		if next := s.catchUp(ctx, cached, record, modRevision); next != nil {
			s.cacheState(next)
			return next, nil
		}
	}
	return s.load(ctx)
}

// findHead returns the head record among the pairs and its modification revision in the key-value
// service, or zero values if there is none.
func findHead(pairs []keyvalue.KeyValue) (headRecord, int64, error) {
	for _, pair := range pairs {
		if pair.Key == headKey {
			record, err := decodeHead(pair.Value)
			return record, int64(pair.ModRevision), err
		}
	}
	return headRecord{}, 0, nil
}

// catchUp applies the entries up to the head record to the cached state. It returns nil if they
// cannot be read or do not lead to the digest in the head record.
func (s *Store) catchUp(ctx context.Context, cached *state, record headRecord, modRevision int64) *state {
	next := &state{head: record, modRevision: modRevision, tree: cached.tree, obsolete: cached.obsolete}
	next.entries = cached.entries[:len(cached.entries):len(cached.entries)]
	for revision := cached.head.Revision + 1; revision <= record.Revision; revision++ {
		pairs, _, err := s.kv.Range(ctx, historyKey(revision))
		if err != nil {
			return nil
		}
		entries, err := EntriesFromPairs(pairs)
		if err != nil || len(entries) != 1 {
			return nil
		}
		if next.tree, err = next.tree.Apply(entries[0].Edit); err != nil {
			return nil
		}
		next.entries = append(next.entries, entries[0])
	}
	if next.tree.Digest() != record.Digest {
		return nil
	}
	next.entries = next.entriesAfter(record.Oldest - 1)
	return next
}

// load reads the whole tree and its history, and caches them.
func (s *Store) load(ctx context.Context) (*state, error) {
	pairs, _, err := s.kv.Range(ctx, KeyPrefix)
	if err != nil {
		return nil, err
	}
	tree, _, err := DecodeTreePairs(pairs)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	entries, err := EntriesFromPairs(pairs)
	if err != nil {
		return nil, eris.Wrap(err, "read settings")
	}
	next := &state{tree: tree, entries: entries}
	if next.head, next.modRevision, err = findHead(pairs); err != nil {
		return nil, err
	}
	next.entries = next.entriesAfter(next.head.Oldest - 1)
	next.obsolete = entries[:len(entries)-len(next.entries)]
	s.cacheState(next)
	return next, nil
}

// cacheState caches a state unless a newer one is cached already. A state of another history
// always replaces the cached one, because it was read later.
func (s *Store) cacheState(next *state) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.cached == nil || s.cached.head.History != next.head.History || s.cached.head.Revision < next.head.Revision {
		s.cached = next
	}
}
