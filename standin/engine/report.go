package engine

import (
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/platform/engine"
)

// blockTokens is how many tokens one prefix block stands for.
const blockTokens = engine.PrefixBlockBytes / bytesPerToken

// bytesPerToken of prompt text, on average.
const bytesPerToken = 4

// sample records the load when the last sample is old enough.
func (s *State) sample() {
	if last := len(s.samples) - 1; last >= 0 && s.now.Sub(s.samples[last].At) < s.config.ReportInterval {
		return
	}
	report := cluster.LoadReport{
		Machine: s.config.Machine, At: s.now, Running: len(s.slots), Queued: len(s.queue),
		PerModel: map[cluster.ModelID]int{},
	}
	decoding := 0
	for _, entry := range s.slots {
		report.PerModel[entry.Model]++
		if entry.status == StatusDecoding {
			decoding++
		}
	}
	if s.steps.period > 0 {
		report.TokensPerSecond = float64(decoding) / s.steps.period.Seconds()
	}
	s.samples = append(s.samples, report)
	if len(s.samples) > maxSamples {
		s.samples = append([]cluster.LoadReport(nil), s.samples[len(s.samples)-maxSamples/2:]...)
	}
}

// Report returns the newest load sample that is at least ReportLag old, or the
// oldest one.
func (s *State) Report(now time.Time) cluster.LoadReport {
	s.Advance(now)
	if s.frozen != nil {
		return *s.frozen
	}
	shown := now.Add(-s.config.ReportLag)
	after := sort.Search(len(s.samples), func(i int) bool { return s.samples[i].At.After(shown) })
	return s.samples[max(after-1, 0)]
}

// FreezeReport shows the present report until ThawReport.
func (s *State) FreezeReport(now time.Time) {
	report := s.Report(now)
	s.frozen = &report
}

// ThawReport ends FreezeReport.
func (s *State) ThawReport() { s.frozen = nil }

// CacheEvents returns the published cache events after a sequence number.
func (s *State) CacheEvents(now time.Time, after uint64) []cluster.CacheEvent {
	s.Advance(now)
	return s.prefixes.after(now, after)
}

// ExportKV returns the cached prefixes of a model.
func (s *State) ExportKV(now time.Time, model cluster.ModelID) []uint64 {
	s.Advance(now)
	return s.prefixes.hashes(model)
}

// ImportKV caches the prefixes that another engine exported.
func (s *State) ImportKV(now time.Time, model cluster.ModelID, hashes []uint64) {
	s.Advance(now)
	if holder := s.find(model); holder != nil && holder.State == cluster.ReplicaLoaded {
		s.prefixes.insert(now, model, hashes)
	}
}

func sortCheckpoints(list []checkpoint) {
	sort.Slice(list, func(i, j int) bool { return list[i].model < list[j].model })
}
