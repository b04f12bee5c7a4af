package keyvalue

import (
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/gateway"
)

// Txn applies a transaction in the form of package keyvalue.
func (s *State) Txn(now time.Time, transaction keyvalue.Transaction) (keyvalue.TransactionResult, error) {
	s.Expire(now)
	result := keyvalue.TransactionResult{Succeeded: true}
	for _, compare := range transaction.Compares {
		if s.pairs[compare.Key].ModRevision != compare.ModRevision {
			result.Succeeded = false
		}
	}
	if result.Succeeded {
		if err := s.write(transaction.Operations); err != nil {
			return keyvalue.TransactionResult{}, err
		}
	} else {
		for _, key := range transaction.Reads {
			result.Found = append(result.Found, s.between(key, "")...)
		}
	}
	result.Revision = s.revision
	return result, nil
}

// write applies all operations in one revision, or none.
func (s *State) write(operations []keyvalue.Operation) error {
	if err := s.check(operations); err != nil {
		return err
	}
	next := s.revision + 1
	changed := false
	for _, operation := range operations {
		if operation.Delete {
			if _, ok := s.pairs[operation.Key]; !ok {
				continue
			}
		}
		if !changed {
			s.revision, changed = next, true
		}
		if operation.Delete {
			s.remove(operation.Key)
		} else {
			s.put(operation)
		}
	}
	return nil
}

// check refuses what etcd refuses: two puts of one key, an empty key, an
// unknown lease.
func (s *State) check(operations []keyvalue.Operation) error {
	seen := make(map[string]struct{}, len(operations))
	for _, operation := range operations {
		if operation.Key == "" {
			return ErrEmptyKey
		}
		if _, twice := seen[operation.Key]; twice {
			return ErrDuplicateKey
		}
		seen[operation.Key] = struct{}{}
		if operation.Lease != 0 && s.leases[operation.Lease] == nil {
			return ErrLeaseNotFound
		}
	}
	return nil
}

// put writes one key at the current revision.
func (s *State) put(operation keyvalue.Operation) {
	pair := s.pairs[operation.Key]
	s.detach(pair)
	if pair.Version == 0 {
		pair.Key, pair.CreateRevision = operation.Key, s.revision
	}
	pair.Value = append([]byte(nil), operation.Value...)
	pair.ModRevision = s.revision
	pair.Version++
	pair.Lease = operation.Lease
	if pair.Lease != 0 {
		s.leases[pair.Lease].keys[pair.Key] = struct{}{}
	}
	s.pairs[pair.Key] = pair
	s.record(keyvalue.Event{KeyValue: pair})
}

// remove deletes one existing key at the current revision.
func (s *State) remove(key string) {
	s.detach(s.pairs[key])
	delete(s.pairs, key)
	s.record(keyvalue.Event{KeyValue: keyvalue.KeyValue{Key: key, ModRevision: s.revision}, Deleted: true})
}

// detach takes a pair off its lease.
func (s *State) detach(pair keyvalue.KeyValue) {
	if granted := s.leases[pair.Lease]; granted != nil {
		delete(granted.keys, pair.Key)
	}
}

// record keeps a change for watches and compacts what is too old. Compaction
// never splits a revision.
func (s *State) record(event keyvalue.Event) {
	s.history = append(s.history, event)
	if len(s.history) >= 2*s.config.HistoryLength {
		s.Compact(s.history[len(s.history)-s.config.HistoryLength].KeyValue.ModRevision)
	}
}

// Compact drops the changes before revision.
func (s *State) Compact(revision int64) {
	if revision <= s.compacted || revision > s.revision {
		return
	}
	s.compacted = revision
	kept := 0
	for kept < len(s.history) && s.history[kept].KeyValue.ModRevision < revision {
		kept++
	}
	s.history = append([]keyvalue.Event(nil), s.history[kept:]...)
}

// EventsSince returns the changes below prefix from startRevision on. The batch
// is Compacted when startRevision is gone; its Revision is always the global
// one otherwise.
func (s *State) EventsSince(now time.Time, prefix string, startRevision int64) keyvalue.WatchBatch {
	s.Expire(now)
	first, end := prefixBounds(prefix)
	return s.eventsBetween(first, end, startRevision)
}

func (s *State) eventsBetween(first, end string, startRevision int64) keyvalue.WatchBatch {
	if startRevision < s.compacted {
		return keyvalue.WatchBatch{Revision: s.compacted, Compacted: true}
	}
	batch := keyvalue.WatchBatch{Revision: s.revision}
	for i := s.firstAt(startRevision); i < len(s.history); i++ {
		if inside(s.history[i].KeyValue.Key, first, end) {
			batch.Events = append(batch.Events, s.history[i])
		}
	}
	return batch
}

// firstAt returns the index of the first change at or after revision. Watches
// mostly ask for the newest, so it searches from the end.
func (s *State) firstAt(revision int64) int {
	i := len(s.history)
	for i > 0 && s.history[i-1].KeyValue.ModRevision >= revision {
		i--
	}
	return i
}

// prefixBounds returns the range that covers every key below prefix.
func prefixBounds(prefix string) (first, end string) {
	if prefix == "" {
		return "\x00", "\x00"
	}
	return prefix, string(gateway.PrefixEnd(prefix))
}
