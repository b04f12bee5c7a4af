package keyvalue

import (
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/gateway"
)

// Txn applies a transaction of package keyvalue. If a compare fails, nothing is
// written and the result has the pairs of transaction.Reads.
func (s *State) Txn(now time.Time, transaction keyvalue.Transaction) (keyvalue.TransactionResult, error) {
	s.Expire(now)
	result := keyvalue.TransactionResult{Succeeded: true}
	for _, compare := range transaction.Compares {
		if s.pairs[compare.Key].ModRevision != compare.ModRevision {
			result.Succeeded = false
		}
	}
	if result.Succeeded {
		if err := s.applyOperations(transaction.Operations); err != nil {
			return keyvalue.TransactionResult{}, err
		}
	} else {
		for _, key := range transaction.Reads {
			result.Found = append(result.Found, s.pairsInRange(key, "")...)
		}
	}
	result.Revision = s.revision
	return result, nil
}

// applyOperations applies all operations at one new revision, or none if one of
// them is invalid. The revision stays if nothing changes.
func (s *State) applyOperations(operations []keyvalue.Operation) error {
	if err := s.validateOperations(operations); err != nil {
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
			s.removeKey(operation.Key)
		} else {
			s.putKey(operation)
		}
	}
	return nil
}

// validateOperations returns the error that etcd has for an empty key, two
// operations on one key or an unknown lease.
func (s *State) validateOperations(operations []keyvalue.Operation) error {
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

// putKey writes one key at the current revision.
func (s *State) putKey(operation keyvalue.Operation) {
	pair := s.pairs[operation.Key]
	s.detachFromLease(pair)
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
	s.appendEvent(keyvalue.Event{KeyValue: pair})
}

// removeKey deletes an existing key at the current revision.
func (s *State) removeKey(key string) {
	s.detachFromLease(s.pairs[key])
	delete(s.pairs, key)
	s.appendEvent(keyvalue.Event{KeyValue: keyvalue.KeyValue{Key: key, ModRevision: s.revision}, Deleted: true})
}

// detachFromLease removes a pair's key from its lease, if it has one.
func (s *State) detachFromLease(pair keyvalue.KeyValue) {
	if granted := s.leases[pair.Lease]; granted != nil {
		delete(granted.keys, pair.Key)
	}
}

// appendEvent adds an event to the history. At twice HistoryLength it compacts
// the history to about HistoryLength events; events of one revision are kept or
// dropped together.
func (s *State) appendEvent(event keyvalue.Event) {
	s.history = append(s.history, event)
	if len(s.history) >= 2*s.config.HistoryLength {
		s.Compact(s.history[len(s.history)-s.config.HistoryLength].KeyValue.ModRevision)
	}
}

// Compact drops the events before revision. It does nothing if revision is
// already compacted or in the future.
func (s *State) Compact(revision keyvalue.Revision) {
	if revision <= s.compactedRevision || revision > s.revision {
		return
	}
	s.compactedRevision = revision
	firstKept := 0
	for firstKept < len(s.history) && s.history[firstKept].KeyValue.ModRevision < revision {
		firstKept++
	}
	s.history = append([]keyvalue.Event(nil), s.history[firstKept:]...)
}

// EventsSince returns the events on keys with the prefix from startRevision on.
// If startRevision is compacted, the batch is marked Compacted and its Revision
// is the compacted revision; otherwise its Revision is the global one.
func (s *State) EventsSince(now time.Time, prefix string, startRevision keyvalue.Revision) keyvalue.WatchBatch {
	s.Expire(now)
	first, end := prefixBounds(prefix)
	return s.eventsBetween(first, end, startRevision)
}

func (s *State) eventsBetween(first, end string, startRevision keyvalue.Revision) keyvalue.WatchBatch {
	if startRevision < s.compactedRevision {
		return keyvalue.WatchBatch{Revision: s.compactedRevision, Compacted: true}
	}
	batch := keyvalue.WatchBatch{Revision: s.revision}
	for i := s.historyIndex(startRevision); i < len(s.history); i++ {
		if inRange(s.history[i].KeyValue.Key, first, end) {
			batch.Events = append(batch.Events, s.history[i])
		}
	}
	return batch
}

// historyIndex returns the index of the first event at or after revision. It
// searches from the end, because most watches ask for the newest events.
func (s *State) historyIndex(revision keyvalue.Revision) int {
	i := len(s.history)
	for i > 0 && s.history[i-1].KeyValue.ModRevision >= revision {
		i--
	}
	return i
}

// prefixBounds returns the range of all keys with the prefix, as first key and
// range end.
func prefixBounds(prefix string) (first, end string) {
	if prefix == "" {
		return "\x00", "\x00"
	}
	return prefix, string(gateway.PrefixEnd(prefix))
}
