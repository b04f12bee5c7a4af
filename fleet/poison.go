package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
)

// KeyPoison is the prefix of the records of poison requests. A poison request ends the process of
// the machine that runs it, and must not be sent again once that has happened to enough machines.
// The records have no expiry; deleting one pardons its request.
const KeyPoison = KeyRoot + "poison/"

// Timing and limits of the reports, probes and stored records of poison requests.
const (
	// poisonReportSpacing is the least time between two messages to one node, so that the reports
	// on many requests that ran at the same machine share a message.
	poisonReportSpacing = 5 * time.Millisecond
	// poisonReportCount is how often each record is reported. The second report follows after
	// poisonReportRepeat, and each further interval is three times as long. Messages may be lost,
	// and a block must be known to all nodes within 1.5 s, half of the bound of 3 s.
	poisonReportCount  = 3
	poisonReportRepeat = 300 * time.Millisecond
	// maxBroadcastNodes is the largest number of live nodes with which suspects are reported to
	// all nodes. In larger systems only poisonOwners nodes, selected by the request's
	// fingerprint, receive the reports on a suspect and count its ends on behalf of all.
	maxBroadcastNodes = 16
	poisonOwners      = 5
	// poisonCleanupInterval is the time between scans of all stored records. A scan of 4,096
	// records takes 2 ms; on each step it made a small request nine times as expensive.
	poisonCleanupInterval = 10 * time.Second
	// maxPoisonProbes is how often in all a blocked request is sent once more, since at most
	// three further sends are acceptable. poisonProbeSpacing gives the node of the first probe the
	// time to use it. A node that has ended meanwhile is not waited for, and one more probe is
	// allowed after its last one: a frequent request was refused for an hour after both nodes
	// that were to probe it had been stopped. One more probe is also allowed after a probe by which
	// no machine ended and none answered.
	maxPoisonProbes    = 2
	poisonProbeSpacing = 10 * time.Second
	// poisonQueryHold is how long a node that has started or was suspended holds all dispatches
	// after it has asked other nodes for blocks that the store may lack: otherwise
	// everything that waits would be sent at once. A message and its answer take 2 to 40 ms
	// within a region.
	poisonQueryHold = 50 * time.Millisecond
	// minPoisonWriteRetry is the first pause between attempts to write a record to the store; it
	// doubles up to maxPoisonWriteRetry.
	minPoisonWriteRetry = time.Second
	maxPoisonWriteRetry = 8 * time.Second
	// poisonBackupDelay is the time after which other nodes write a record that the store still
	// lacks, because the node that found it may have ended.
	poisonBackupDelay = 2 * time.Second
)

// pendingReport is a record that is to be reported.
type pendingReport struct {
	// remaining is the number of reports left.
	remaining int
	dueAt     time.Time
	// interval is the time between the next report and the one after it.
	interval time.Duration
}

// pendingWrite is a record that the store lacks, or that is to be deleted from it.
type pendingWrite struct {
	// leftToOthers is set if other nodes are to write the record.
	leftToOthers bool
	// revision is the revision of the stored record to be replaced, zero for none.
	revision   keyvalue.Revision
	dueAt      time.Time
	retryDelay time.Duration
	inFlight   bool
}

// storedPoison is this node's state of a stored record.
type storedPoison struct {
	StoredPoisonRecord
	// readAt is when this node read the record.
	readAt time.Time
	// claimedAt is when this node last tried to claim a probe in the store, zero for never.
	claimedAt time.Time
}

// poisonSync exchanges the records of poison requests with other nodes and the store.
type poisonSync struct {
	core    *Core
	reports map[poison.Fingerprint]*pendingReport
	writes  map[poison.Fingerprint]*pendingWrite
	// removals are the records to be deleted from the store.
	removals map[poison.Fingerprint]*pendingWrite
	// stored are the requests that have a record in the store.
	stored map[poison.Fingerprint]*storedPoison
	// receivedBlocks are the requests that the records being learned block.
	receivedBlocks map[poison.Fingerprint]bool
	// liftedBlocks are the requests whose unblocking must be reported to all nodes.
	liftedBlocks map[poison.Fingerprint]bool
	// learningFromOthers is set while the router handles records of other nodes or of the store.
	learningFromOthers bool
	lastReportAt       time.Time
	// nextCleanupAt is when the lease holder next scans for expired records.
	nextCleanupAt time.Time
	// peersQueried is set once other nodes were asked for blocks that the store may lack.
	// Their answers are awaited until holdUntil.
	peersQueried bool
	holdUntil    time.Time
	// pardoned are requests whose stored records were deleted, and when. A restored store may have the
	// records again.
	pardoned map[poison.Fingerprint]time.Time
}

func newPoisonSync(core *Core) *poisonSync {
	return &poisonSync{
		core: core, reports: map[poison.Fingerprint]*pendingReport{}, writes: map[poison.Fingerprint]*pendingWrite{}, removals: map[poison.Fingerprint]*pendingWrite{},
		stored: map[poison.Fingerprint]*storedPoison{}, receivedBlocks: map[poison.Fingerprint]bool{}, liftedBlocks: map[poison.Fingerprint]bool{},
		pardoned: map[poison.Fingerprint]time.Time{},
	}
}

// blocks reports whether a record forbids that its request is sent.
func (s *poisonSync) blocks(record *poison.Record) bool {
	return s.core.config.Routing.Poison.Blocks(record)
}

// recordsFound handles records that are new to the router. Records received from other nodes are
// not reported again, except a block that follows only from the received records together
// with those of this node.
func (s *poisonSync) recordsFound(records []poison.Record) {
	for i := range records {
		record := &records[i]
		blocks := s.blocks(record)
		if blocks && s.stored[record.Content] == nil {
			s.scheduleWrite(record.Content)
		}
		if s.learningFromOthers && (!blocks || s.receivedBlocks[record.Content]) {
			continue
		}
		s.logVerdict(record, blocks)
		s.reports[record.Content] = &pendingReport{remaining: s.reportCount(blocks), dueAt: s.core.now, interval: poisonReportRepeat}
		if record.AttributedEndCount() == 0 {
			s.scheduleDelete(record.Content)
		}
	}
}

// reportCount returns how often a record is reported: once for a block in a large system,
// since the stored record announces it as well.
func (s *poisonSync) reportCount(blocks bool) int {
	if blocks && len(s.core.nodes.live) > maxBroadcastNodes {
		return 1
	}
	return poisonReportCount
}

// scheduleWrite schedules the write of a block to the store. The node that found it writes
// at once. If the store still lacks it after poisonBackupDelay, its owners write it.
func (s *poisonSync) scheduleWrite(content poison.Fingerprint) {
	if s.writes[content] != nil {
		return
	}
	write := &pendingWrite{dueAt: s.core.now, retryDelay: minPoisonWriteRetry}
	if s.learningFromOthers && s.receivedBlocks[content] {
		write.dueAt = s.core.now.Add(poisonBackupDelay)
		write.leftToOthers = !slices.Contains(s.ownersOf(content), s.core.config.Self.ID)
	}
	s.writes[content] = write
}

// ownersOf returns the nodes that count a request's ends on behalf of all in a large system.
func (s *poisonSync) ownersOf(content poison.Fingerprint) []cluster.NodeID {
	ids := slices.Collect(maps.Keys(s.core.nodes.live))
	slices.SortFunc(ids, func(a, b cluster.NodeID) int {
		return cmp.Or(cmp.Compare(ownerWeight(b, content), ownerWeight(a, content)), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), poisonOwners)]
}

// logVerdict logs whether a request is suspected, blocked or cleared by a record.
func (s *poisonSync) logVerdict(record *poison.Record, blocks bool) {
	line := eventlog.PoisonJudged{Content: record.Content.String(), Machines: joinMachines(record.Ends), Ends: record.AttributedEndCount(), Outcome: "suspected"}
	if record.Content.IsPart() {
		line.Part = strconv.FormatUint(record.Content.PartID(), 16)
	}
	switch {
	case blocks:
		line.Outcome = "convicted"
	case line.Ends == 0:
		line.Outcome = "cleared"
	}
	s.core.log(line)
}

func joinMachines(ids []cluster.MachineID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, ",")
}

// learn passes records of other nodes or of the store to the router.
func (s *poisonSync) learn(records []poison.Record) {
	for i := range records {
		if s.blocks(&records[i]) {
			s.receivedBlocks[records[i].Content] = true
		}
	}
	s.learningFromOthers = true
	s.core.feedRouter(routing.PoisonLearned{Records: records})
	s.learningFromOthers = false
	clear(s.receivedBlocks)
}

// reportReceived handles a report of another node. A query, which has no records, is answered
// with the blocks that the store may lack. A sender that lacks a block known here gets
// a report in return.
func (s *poisonSync) reportReceived(from string, records []poison.Record) {
	if unstored := s.unstored(); len(records) == 0 && len(unstored) > 0 {
		s.send(from, unstored)
	}
	s.learn(records)
	var unknown []poison.Record
	for i := range records {
		sent := &records[i]
		known, found := s.core.router.PoisonRecord(sent.Content)
		if found && s.blocks(&known) && !s.blocks(sent) {
			unknown = append(unknown, known)
		}
	}
	if len(unknown) > 0 {
		s.send(from, unknown)
	}
}

// nodeJoined reports the blocks that the store may lack to a new node.
func (s *poisonSync) nodeJoined(entry NodeEntry) {
	if unstored := s.unstored(); len(unstored) > 0 && entry.ID != s.core.config.Self.ID {
		s.send(entry.Address, unstored)
	}
}

// unstored returns the blocks that the store lacks as far as this node knows.
func (s *poisonSync) unstored() []poison.Record {
	var unstored []poison.Record
	for _, content := range sortedContents(s.writes) {
		if record, found := s.core.router.PoisonRecord(content); found && s.blocks(&record) {
			unstored = append(unstored, record)
		}
	}
	return unstored
}

// queryPeers asks some nodes, once after a start or pause, for the blocks that the store may
// lack. The query is a report without records.
func (s *poisonSync) queryPeers() {
	if s.peersQueried {
		return
	}
	self := poison.Content{Caller: string(s.core.config.Self.ID)}
	ids := slices.DeleteFunc(s.ownersOf(self.Fingerprint()), func(id cluster.NodeID) bool { return id == s.core.config.Self.ID })
	if len(ids) == 0 {
		return
	}
	s.peersQueried, s.holdUntil = true, s.core.now.Add(poisonQueryHold)
	s.core.feedRouter(routing.DispatchesPaused{Until: s.holdUntil})
	for _, id := range ids {
		s.send(s.core.nodes.live[id].Address, nil)
	}
}

// recordsRead handles records read from the store.
func (s *poisonSync) recordsRead(read PoisonRead) {
	if read.Full {
		for _, content := range sortedContents(s.stored) {
			if !read.includes(content) {
				read.Gone = append(read.Gone, content)
			}
		}
	}
	if read.Restored {
		s.restored(&read)
	}
	var granted, denied []poison.Fingerprint
	records := make([]poison.Record, 0, len(read.Records))
	for i := range read.Records {
		record := &read.Records[i]
		content := record.Record.Content
		before := s.stored[content]
		s.stored[content] = &storedPoison{StoredPoisonRecord: *record, readAt: s.core.now}
		if before != nil && !before.claimedAt.IsZero() && before.Probes < record.Probes {
			if record.Prober == s.core.config.Self.ID {
				granted = append(granted, content)
				s.core.log(eventlog.PoisonProbe{Content: content.String(), Outcome: "granted", Number: record.Probes})
			} else {
				denied = append(denied, content)
			}
		}
		delete(s.writes, content)
		delete(s.pardoned, content)
		records = append(records, record.Record)
	}
	for i := range read.Undecodable {
		s.rewriteUndecodable(&read.Undecodable[i])
	}
	s.learn(records)
	for i := range records {
		if known, found := s.core.router.PoisonRecord(records[i].Content); found && s.blocks(&records[i]) && !s.blocks(&known) {
			// The request was unblocked before the store's outdated record was read.
			s.scheduleDelete(records[i].Content)
		}
	}
	for _, content := range granted {
		s.core.feedRouter(routing.PoisonProbeGranted{Content: content})
	}
	for _, content := range denied {
		s.core.feedRouter(routing.PoisonProbeDenied{Content: content})
	}
	for _, content := range read.Gone {
		if s.stored[content] != nil {
			delete(s.stored, content)
			s.notePardon(content)
			s.core.feedRouter(routing.PoisonPardoned{Content: content})
		}
	}
}

// includes reports whether the request has a record, decodable or not.
func (r *PoisonRead) includes(content poison.Fingerprint) bool {
	same := func(stored StoredPoisonRecord) bool { return stored.Record.Content == content }
	return slices.ContainsFunc(r.Records, same) || slices.ContainsFunc(r.Undecodable, same)
}

// rewriteUndecodable replaces a record that can't be decoded if this node knows the block.
func (s *poisonSync) rewriteUndecodable(unread *StoredPoisonRecord) {
	content := unread.Record.Content
	known, found := s.core.router.PoisonRecord(content)
	if !found || !s.blocks(&known) {
		return
	}
	s.scheduleWrite(content)
	s.writes[content].revision = unread.Revision
	s.writes[content].leftToOthers = false
}

// tick sends the reports and writes that are due.
func (s *poisonSync) tick() {
	s.sendReports()
	s.sendWrites()
	s.deleteExpired()
}

// due returns the time of the next required tick, zero for none.
func (s *poisonSync) due() time.Time {
	var next time.Time
	for _, at := range []time.Time{s.nextReportAt(), s.nextWriteAt()} {
		if !at.IsZero() {
			next = earliest(next, at)
		}
	}
	if s.holdUntil.After(s.core.now) {
		next = earliest(next, s.holdUntil)
	}
	return next
}

func sortedContents[V any](byContent map[poison.Fingerprint]V) []poison.Fingerprint {
	return slices.SortedFunc(maps.Keys(byContent), func(a, b poison.Fingerprint) int { return slices.Compare(a[:], b[:]) })
}
