package engine

import (
	"sort"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/engine"
)

// tokensPerBlock is the number of tokens in one prefix block.
const tokensPerBlock = engine.PrefixBlockBytes / bytesPerToken

// bytesPerToken is the average length of a token of prompt text in bytes.
const bytesPerToken = 4

// recordSample records the current load if the last sample is at least
// Config.ReportInterval old.
func (s *State) recordSample() {
	if last := len(s.loadSamples) - 1; last >= 0 && s.now.Sub(s.loadSamples[last].At) < s.config.ReportInterval {
		return
	}
	report := cluster.LoadReport{
		Machine: s.config.Machine, At: s.now, Running: len(s.batch), Queued: len(s.queue),
		PerModel: map[cluster.ModelID]int{},
	}
	decoding := 0
	for _, entry := range s.batch {
		report.PerModel[entry.Model]++
		if entry.status == StatusDecoding {
			decoding++
		}
	}
	if s.steps.stepTime > 0 {
		report.TokensPerSecond = float64(decoding) / s.steps.stepTime.Seconds()
	}
	s.loadSamples = append(s.loadSamples, report)
	if len(s.loadSamples) > maxSamples {
		s.loadSamples = append([]cluster.LoadReport(nil), s.loadSamples[len(s.loadSamples)-maxSamples/2:]...)
	}
}

// Report returns the newest load sample that is at least Config.ReportLag old,
// or the oldest one if none is.
func (s *State) Report(now time.Time) cluster.LoadReport {
	s.Advance(now)
	if s.frozenReport != nil {
		return *s.frozenReport
	}
	shown := now.Add(-s.config.ReportLag)
	after := sort.Search(len(s.loadSamples), func(i int) bool { return s.loadSamples[i].At.After(shown) })
	return s.loadSamples[max(after-1, 0)]
}

// FreezeReport makes Report return the current report until ThawReport is called.
func (s *State) FreezeReport(now time.Time) {
	report := s.Report(now)
	s.frozenReport = &report
}

// ThawReport ends the effect of FreezeReport.
func (s *State) ThawReport() { s.frozenReport = nil }

// CacheEvents returns the published cache events with a sequence number greater
// than after.
func (s *State) CacheEvents(now time.Time, after uint64) []cluster.CacheEvent {
	s.Advance(now)
	return s.prefixes.eventsAfter(now, after)
}

// ExportKV returns the cached prefixes of a model, or a refusal.
func (s *State) ExportKV(now time.Time, cache engine.KVCache) ([]uint64, *engine.OrderRefusal) {
	s.Advance(now)
	if refused := s.validateKV(cache); refused != nil {
		return nil, refused
	}
	return s.prefixes.hashes(cache.Model), nil
}

// ImportKV caches the prefixes that another engine exported, or returns a
// refusal.
func (s *State) ImportKV(now time.Time, cache engine.KVCache, hashes []uint64) *engine.OrderRefusal {
	s.Advance(now)
	if refused := s.validateKV(cache); refused != nil {
		return refused
	}
	s.prefixes.insert(now, cache.Model, hashes)
	return nil
}

// validateKV refuses other tokens than the one that the engine was last sealed
// with, and caches of a model or version that isn't loaded, because another
// version's cache would give wrong answers.
func (s *State) validateKV(cache engine.KVCache) *engine.OrderRefusal {
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
