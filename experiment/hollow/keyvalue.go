package hollow

import (
	"fmt"
	"time"

	"github.com/valveslip/valveslip/replication"
	"github.com/valveslip/valveslip/settings"
)

// Times of the simulated key-value service.
const (
	// watchEventLatency is the latency from the service to a watcher in the nearest region.
	watchEventLatency = 5 * time.Millisecond
	// loadDuration is the time to read the whole configuration.
	loadDuration = 200 * time.Millisecond
	// leaseDuration is how long a zone has no controller after its controller crashed.
	leaseDuration = 10 * time.Second
	// loadRetryInterval is the interval between attempts to read while the service is unreachable.
	loadRetryInterval = time.Second
)

// keyValueService simulates the key-value service. It sends watch events one after another at a
// limited rate, so the delay grows with the number of watchers.
type keyValueService struct {
	run     *spreadRun
	tree    *settings.Tree
	stamp   settings.Stamp
	entries []settings.Entry
	// commitTimes holds the time of each commit by revision.
	commitTimes map[int64]time.Time
	down        bool
	// outageStart and outageEnd are the limits of the only outage.
	outageStart, outageEnd time.Time
	// eventsSentUntil is the time at which all queued events will have been sent.
	eventsSentUntil time.Time
	sentEvents      int
}

// initialize creates the first tree.
func (s *keyValueService) initialize(run *spreadRun, models, adapters int) error {
	tree, err := buildTree(models, adapters)
	if err != nil {
		return err
	}
	s.run, s.tree = run, tree
	s.stamp = settings.Stamp{History: "20260101T000000.000Z-experiment", Revision: 1, Digest: tree.Digest()}
	s.commitTimes = map[int64]time.Time{1: run.clock.now}
	return nil
}

// commitEdit commits an edit of one adapter and notifies the watchers.
func (s *keyValueService) commitEdit(adapter int) settings.Entry {
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
	s.commitTimes[revision] = s.run.clock.now
	for _, n := range s.run.nodes {
		if s.run.isWatcher(n) {
			s.sendWatchEvent(n, entry)
		}
	}
	return entry
}

// sendWatchEvent sends one watch event. A node that is partitioned or not running loses its watch,
// and reads the whole configuration when it is reachable again.
func (s *keyValueService) sendWatchEvent(n *node, entry settings.Entry) {
	if s.run.isPartitioned(n) || !n.running {
		return
	}
	s.sentEvents++
	now := s.run.clock.now
	if s.eventsSentUntil.Before(now) {
		s.eventsSentUntil = now
	}
	s.eventsSentUntil = s.eventsSentUntil.Add(time.Duration(float64(time.Second) / s.run.options.EventsPerSecond))
	delay := s.eventsSentUntil.Sub(now) + watchEventLatency + time.Duration(n.region)*latencyPerRegionDistance
	n.traffic.Received += int64(s.watchEventBytes(entry))
	s.runUnlessPaused(n, delay, func() {
		n.applyReplication(n.replication.Step(s.run.clock.now, replication.Accepted{
			History: s.stamp.History, Entries: []settings.Entry{entry},
		}))
	})
}

// storedChunks is the number of values into which the store of package settings divides the tree.
// An edit of one level writes one of them, the head and the history entry.
const (
	storedChunks    = 64
	storedHeadBytes = 200
)

// watchEventBytes returns the size of a watch event, whose keys and values are encoded in base64.
func (s *keyValueService) watchEventBytes(entry settings.Entry) int {
	plain := s.run.report.TreeBytes/storedChunks + storedHeadBytes + len(entry.Edit.Encode())
	return plain*4/3 + packetOverhead
}

// scheduleLoad makes a node read the whole configuration as soon as it can reach the service.
func (s *keyValueService) scheduleLoad(n *node) {
	generation := n.generation
	s.runUnlessPaused(n, loadDuration, func() {
		if s.down || s.run.isPartitioned(n) {
			s.run.clock.schedule(loadRetryInterval, func() {
				if n.generation == generation {
					s.scheduleLoad(n)
				}
			})
			return
		}
		n.traffic.Received += int64(s.run.report.TreeBytes * 4 / 3)
		n.applyReplication(n.replication.Step(s.run.clock.now, replication.Loaded{Tree: s.tree, Stamp: s.stamp}))
	})
}

// runUnlessPaused calls run for a process after the delay, or after the end of the pause if the
// process is paused then. It does nothing if the process has ended.
func (s *keyValueService) runUnlessPaused(n *node, delay time.Duration, run func()) {
	generation := n.generation
	s.run.clock.schedule(delay, func() {
		switch {
		case !n.running || n.generation != generation:
		case n.paused():
			s.runUnlessPaused(n, n.pausedUntil.Sub(s.run.clock.now), run)
		default:
			run()
		}
	})
}

// startOutage makes the service unreachable for the duration. After the outage all watchers read
// again.
func (s *keyValueService) startOutage(duration time.Duration) {
	s.down = true
	s.outageStart, s.outageEnd = s.run.clock.now, s.run.clock.now.Add(duration)
	s.run.clock.schedule(duration, func() {
		s.down = false
		s.reloadWatchers(func(*node) bool { return true })
	})
}

// reloadWatchers makes the running watchers that match read the configuration again.
func (s *keyValueService) reloadWatchers(match func(*node) bool) {
	for _, n := range s.run.nodes {
		if n.running && match(n) && s.run.isWatcher(n) {
			s.scheduleLoad(n)
		}
	}
}

// wasDownAt reports whether the time lies in the outage.
func (s *keyValueService) wasDownAt(at time.Time) bool {
	return !at.Before(s.outageStart) && at.Before(s.outageEnd)
}
