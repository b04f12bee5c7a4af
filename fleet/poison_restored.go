package fleet

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing/poison"
)

const (
	// pardonMemory is how long a pardon is remembered: longer than a copy that the store comes back from
	// is old.
	pardonMemory = 2 * time.Minute
	// maxPardons limits the remembered pardons. Those beyond it come back with a copy.
	maxPardons = 1024
)

// eraBegan gives the stored records their revisions in a later era of the store.
func (s *poisonSync) eraBegan(era keyvalue.Era) {
	for _, stored := range s.stored {
		stored.Revision = inEra(stored.Revision, era)
	}
}

// notePardon remembers that the stored record of a request was deleted.
func (s *poisonSync) notePardon(content poison.Fingerprint) {
	for known, at := range s.pardoned {
		if s.core.now.Sub(at) >= pardonMemory {
			delete(s.pardoned, known)
		}
	}
	if len(s.pardoned) < maxPardons {
		s.pardoned[content] = s.core.now
	}
}

// restored prepares the records of a store that came back from a copy. Blocks that it lost are written
// again, also those whose write it had acknowledged and nobody had read yet. Records of requests that were
// pardoned since the copy are deleted again.
func (s *poisonSync) restored(read *PoisonRead) {
	for _, content := range read.Gone {
		delete(s.stored, content)
	}
	read.Gone = nil
	for _, content := range s.core.router.BlockedContents() {
		if s.stored[content] == nil && s.writes[content] == nil && !read.includes(content) {
			s.writeAgain(content)
		}
	}
	read.Records = slices.DeleteFunc(read.Records, func(stored StoredPoisonRecord) bool {
		content := stored.Record.Content
		at, pardoned := s.pardoned[content]
		if !pardoned || s.core.now.Sub(at) >= pardonMemory {
			return false
		}
		s.deleteAgain(&stored)
		return true
	})
}

// writeAgain schedules the write of a block that the store lost. Its owners write it in turn.
func (s *poisonSync) writeAgain(content poison.Fingerprint) {
	turn := slices.Index(s.ownersOf(content), s.core.config.Self.ID)
	s.writes[content] = &pendingWrite{
		leftToOthers: turn < 0, dueAt: s.core.now.Add(time.Duration(turn) * poisonBackupDelay), retryDelay: minPoisonWriteRetry,
	}
}

// deleteAgain schedules the deletion of the record of a pardoned request. Its owners delete it in turn.
func (s *poisonSync) deleteAgain(stored *StoredPoisonRecord) {
	content := stored.Record.Content
	turn := slices.Index(s.ownersOf(content), s.core.config.Self.ID)
	if turn < 0 {
		return
	}
	s.stored[content] = &storedPoison{StoredPoisonRecord: *stored, readAt: s.core.now}
	s.removals[content] = &pendingWrite{dueAt: s.core.now.Add(time.Duration(turn) * poisonBackupDelay), retryDelay: minPoisonWriteRetry}
}
