package hollow

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/replication"
	"github.com/valveslip/valveslip/settings"
)

// Times of the key-value service.
const (
	// serviceLatency from the service to a watcher in the nearest region.
	serviceLatency = 5 * time.Millisecond
	// loadTime of reading the whole configuration.
	loadTime = 200 * time.Millisecond
	// leaseTime is how long a zone is without a controller.
	leaseTime = 10 * time.Second
	// retryTime between tries while the service cannot be reached.
	retryTime = time.Second
)

// service stands for the key-value service. It sends watch events one after
// another at a bounded rate, so many watchers wait for one another.
type service struct {
	run     *spreadRun
	tree    *settings.Tree
	stamp   settings.Stamp
	entries []settings.Entry
	// times of acceptance, by revision.
	times map[int64]time.Time
	down  bool
	// outageStart and outageEnd of the one outage.
	outageStart, outageEnd time.Time
	// busyUntil is when the events sent so far are out.
	busyUntil time.Time
	events    int
}

// open stores the first tree.
func (s *service) open(run *spreadRun, models, adapters int) error {
	tree, err := treeOf(models, adapters)
	if err != nil {
		return err
	}
	s.run, s.tree = run, tree
	s.stamp = settings.Stamp{History: "20260101T000000.000Z-experiment", Revision: 1, Digest: tree.Digest()}
	s.times = map[int64]time.Time{1: run.clock.now}
	return nil
}

// commit accepts an edit of one adapter and tells the watchers.
func (s *service) commit(adapter int) settings.Entry {
	revision := s.stamp.Revision + 1
	edit := settings.Edit{
		ID: fmt.Sprintf("edit-%06d", revision), Author: "operator@example.org", Message: "raise the priority of one adapter",
		At: s.run.clock.now, BaseRevision: s.stamp.Revision,
		Changes: []settings.Change{{
			Path: adapterPath(adapter), Set: map[string]settings.Value{"priority": settings.Value(fmt.Sprint(revision % 100))},
		}},
	}
	tree, err := s.tree.Apply(edit)
	if err != nil {
		panic("hollow: " + err.Error())
	}
	entry := settings.Entry{Revision: revision, Digest: tree.Digest(), Edit: edit}
	s.tree = tree
	s.stamp.Revision, s.stamp.Digest = revision, tree.Digest()
	s.entries = append(s.entries, entry)
	s.times[revision] = s.run.clock.now
	for _, n := range s.run.nodes {
		if s.run.watches(n) {
			s.notify(n, entry)
		}
	}
	return entry
}

// notify sends one watch event. A watcher that cannot be reached loses its
// watch and reads again when it can.
func (s *service) notify(n *node, entry settings.Entry) {
	if s.run.cutOff(n) || !n.running {
		return
	}
	s.events++
	now := s.run.clock.now
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(float64(time.Second) / s.run.options.EventsPerSecond))
	delay := s.busyUntil.Sub(now) + serviceLatency + time.Duration(n.region)*latencyRegionStep
	n.traffic.Received += int64(s.eventBytes(entry))
	s.whenAwake(n, delay, func() {
		n.applyReplication(n.replication.Step(s.run.clock.now, replication.Accepted{
			History: s.stamp.History, Entries: []settings.Entry{entry},
		}))
	})
}

// storedChunks is over how many values the store of package settings divides
// the tree; an edit of one level writes one of them, the head and the history
// entry.
const (
	storedChunks = 64
	headBytes    = 200
)

// eventBytes is the size of a watch event: keys and values in base64.
func (s *service) eventBytes(entry settings.Entry) int {
	plain := s.run.report.TreeBytes/storedChunks + headBytes + len(entry.Edit.Encode())
	return plain*4/3 + packetOverhead
}

// loadLater lets a node read the whole configuration, as soon as it can reach
// the service.
func (s *service) loadLater(n *node) {
	generation := n.generation
	s.whenAwake(n, loadTime, func() {
		if s.down || s.run.cutOff(n) {
			s.run.clock.after(retryTime, func() {
				if n.generation == generation {
					s.loadLater(n)
				}
			})
			return
		}
		n.traffic.Received += int64(s.run.report.TreeBytes * 4 / 3)
		n.applyReplication(n.replication.Step(s.run.clock.now, replication.Loaded{Tree: s.tree, Stamp: s.stamp}))
	})
}

// whenAwake runs something at a process after a delay, and after its pause if
// it is paused then.
func (s *service) whenAwake(n *node, delay time.Duration, run func()) {
	generation := n.generation
	s.run.clock.after(delay, func() {
		switch {
		case !n.running || n.generation != generation:
		case n.paused():
			s.whenAwake(n, n.pausedUntil.Sub(s.run.clock.now), run)
		default:
			run()
		}
	})
}

// outage makes the service unreachable for a while.
func (s *service) outage(duration time.Duration) {
	s.down = true
	s.outageStart, s.outageEnd = s.run.clock.now, s.run.clock.now.Add(duration)
	s.run.clock.after(duration, func() {
		s.down = false
		s.resume(func(*node) bool { return true })
	})
}

// resume lets the watchers that match read again.
func (s *service) resume(match func(*node) bool) {
	for _, n := range s.run.nodes {
		if n.running && match(n) && s.run.watches(n) {
			s.loadLater(n)
		}
	}
}

func (s *service) wasDown(at time.Time) bool {
	return !at.Before(s.outageStart) && at.Before(s.outageEnd)
}
