package soak

import (
	"strings"
	"time"

	"github.com/valveslip/valveslip/platform"
	"github.com/valveslip/valveslip/soak/check"
	"github.com/valveslip/valveslip/soak/plan"
	"github.com/valveslip/valveslip/standin/fault"
)

const (
	// rewriteDelay is the time from the store's return to the first entry that is written again,
	// rewriteSpacing the time from one worker's entry to the next.
	rewriteDelay   = 100 * time.Millisecond
	rewriteSpacing = 60 * time.Millisecond
	// endedEntryDelay is the time from the store's return to the end of the entries of workers that
	// have ended since the copy: three of their heartbeats are missing by then.
	endedEntryDelay = 1500 * time.Millisecond
)

// restoreStore copies the store, makes it go away after the age of the copy, and brings it back from the
// copy. It counts as a disturbance of all nodes until the workers' entries are written again.
func (r *run) restoreStore(f *plan.Fault) {
	taken := r.metadata.Copy()
	r.undoAfter(f.Delay, func() {
		restored := r.recorder.beginDisturbance(check.Disturbance{Node: check.AllNodes, Scope: check.ScopeStore, From: r.recorder.elapsed()})
		r.metadata.Inject(fault.Order{Kind: fault.KindDown, For: fault.Duration(f.For)})
		r.undoAfter(f.For, func() {
			r.metadata.Restore(taken)
			r.rewriteEntries(restored)
		})
	})
}

// rewriteEntries writes what the operator and the workers wrote again, and removes the entries of
// workers that have ended.
func (r *run) rewriteEntries(done func()) {
	r.undoAfter(rewriteDelay, r.configuration.rewrite)
	for index, slot := range r.workers {
		r.undoAfter(rewriteDelay+time.Duration(index)*rewriteSpacing, slot.rewriteEntry)
	}
	r.undoAfter(rewriteDelay+time.Duration(len(r.workers))*rewriteSpacing, done)
	r.undoAfter(endedEntryDelay, r.removeEndedEntries)
}

// rewriteEntry writes the entry of the slot's worker again.
func (s *workerSlot) rewriteEntry() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.metadata.Put(s.worker.Key(), s.worker.Entry()); err != nil {
		s.fail(err)
	}
}

// removeEndedEntries removes the entries of workers that no slot has.
func (r *run) removeEndedEntries() {
	// A worker that starts after the keys were listed is not among them.
	keys := r.metadata.Keys(platform.PrefixWorkers)
	present := map[string]bool{}
	for _, slot := range r.workers {
		_, current, _, _ := slot.current()
		present[current.Key()] = true
	}
	for _, key := range keys {
		if !present[key] && !strings.HasPrefix(key, platform.PrefixWorkers+extraWorkerPrefix) {
			r.metadata.Remove(key)
		}
	}
}
