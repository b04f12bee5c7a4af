package engine

import (
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
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

// ExportKV returns the cached prefixes of a model, or why it refuses to.
func (s *State) ExportKV(now time.Time, cache engine.KVCache) ([]uint64, *engine.OrderRefusal) {
	s.Advance(now)
	if refused := s.admitKV(cache); refused != nil {
		return nil, refused
	}
	return s.prefixes.hashes(cache.Model), nil
}

// ImportKV caches the prefixes that another engine exported, or says why not.
func (s *State) ImportKV(now time.Time, cache engine.KVCache, hashes []uint64) *engine.OrderRefusal {
	s.Advance(now)
	if refused := s.admitKV(cache); refused != nil {
		return refused
	}
	s.prefixes.insert(now, cache.Model, hashes)
	return nil
}

// admitKV refuses other tokens than the one the engine was last sealed with, and
// caches of a model or a version that is not loaded: they would give wrong
// answers.
func (s *State) admitKV(cache engine.KVCache) *engine.OrderRefusal {
	switch holder := s.find(cache.Model); {
	case cache.Token < s.token:
		return &engine.OrderRefusal{Reason: engine.ReasonStaleToken, Token: s.token}
	case cache.Token > s.token || s.token == 0:
		return &engine.OrderRefusal{Reason: engine.ReasonNotSealed, Token: s.token}
	case holder == nil || holder.State != cluster.ReplicaLoaded || holder.Version != cache.Version:
		return &engine.OrderRefusal{Reason: engine.ReasonInvalid, Token: s.token}
	}
	return nil
}

func sortCheckpoints(list []checkpoint) {
	sort.Slice(list, func(i, j int) bool { return list[i].model < list[j].model })
}
