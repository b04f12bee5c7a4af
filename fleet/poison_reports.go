package fleet

import (
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/wire"
)

// send sends records, or a query if there are none, to another node.
func (s *poisonSync) sendReports() {
	now := s.core.now
	if next := s.nextReportAt(); next.IsZero() || next.After(now) {
		return
	}
	byNode := map[cluster.NodeID][]poison.Record{}
	for _, content := range sortedContents(s.reports) {
		report := s.reports[content]
		if report.dueAt.After(now) {
			continue
		}
		record, found := s.core.router.PoisonRecord(content)
		report.dueAt, report.interval = now.Add(report.interval), 3*report.interval
		if found {
			for _, id := range s.recipients(&record) {
				byNode[id] = append(byNode[id], record)
			}
		}
		if report.remaining--; !found || report.remaining == 0 {
			delete(s.reports, content)
			delete(s.liftedBlocks, content)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(byNode)) {
		s.lastReportAt = now
		s.send(s.core.nodes.live[id].Address, byNode[id])
	}
}

func (s *poisonSync) send(address string, records []poison.Record) {
	self := &s.core.config.Self
	var requests []wire.RequestEnds
	var parts []poison.Record
	for i := range records {
		if record := &records[i]; record.Content.IsPart() {
			parts = append(parts, *record)
		} else {
			requests = append(requests, wire.RequestEnds{Content: record.Content, Ends: record.Ends, Cleared: record.Cleared})
		}
	}
	if len(requests) > 0 || len(records) == 0 {
		s.core.send(address, wire.PoisonReport{From: self.ID, FromAddress: self.Address, Records: requests})
	}
	if len(parts) > 0 {
		s.core.send(address, wire.PartReport{From: self.ID, FromAddress: self.Address, Records: parts})
	}
}

// recordsOf returns the records of a report on requests.
func recordsOf(report *wire.PoisonReport) []poison.Record {
	records := make([]poison.Record, len(report.Records))
	for i := range report.Records {
		record := &report.Records[i]
		records[i] = poison.Record{Content: record.Content, Ends: record.Ends, Cleared: record.Cleared}
	}
	return records
}

// recipients returns the nodes to which a record is reported: all nodes for blocks,
// unblocked requests and small systems, else the owners of the request.
func (s *poisonSync) recipients(record *poison.Record) []cluster.NodeID {
	var ids []cluster.NodeID
	if len(s.core.nodes.live) <= maxBroadcastNodes || s.blocks(record) || s.liftedBlocks[record.Content] {
		ids = slices.Collect(maps.Keys(s.core.nodes.live))
	} else {
		ids = s.ownersOf(record.Content)
	}
	return slices.DeleteFunc(ids, func(id cluster.NodeID) bool { return id == s.core.config.Self.ID })
}

// ownerWeight returns the rendezvous hash of a node and a request. A node that joins or leaves
// changes the owners of few requests.
func ownerWeight(id cluster.NodeID, content poison.Fingerprint) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(content[:])
	_, _ = hash.Write([]byte(id))
	return splitMix64(hash.Sum64())
}

// splitMix64 is SplitMix64's finalizer. It spreads differences in a hash's last bytes over all
// bits.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// nextReportAt returns the time of the next report, zero for none.
func (s *poisonSync) nextReportAt() time.Time {
	var next time.Time
	for _, report := range s.reports {
		next = earliest(next, report.dueAt)
	}
	if earliestAllowed := s.lastReportAt.Add(poisonReportSpacing); !next.IsZero() && next.Before(earliestAllowed) {
		return earliestAllowed
	}
	return next
}
