package fleet

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/eventlog"
	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/routing/poison"
	"github.com/valveslip/valveslip/wire"
)

// KeyPoison holds a record for each request that must not be sent because machines end
// under it. The records outlive all nodes; deleting one pardons its request.
const KeyPoison = KeyRoot + "poison/"

// How what is known of requests that end machines is told to other nodes.
const (
	// poisonSpacing is the least time between two messages to one node, so that the many
	// requests that were at one machine go together.
	poisonSpacing = 5 * time.Millisecond
	// poisonTellings is how often each record is told, the second after poisonRepeat, each
	// further one after three times as long: messages may be lost, and what three machines
	// ended for must be known within half of a bound of 3 s.
	poisonTellings = 3
	poisonRepeat   = 300 * time.Millisecond
	// tellAllNodes is up to how many nodes all are told of suspects; among more, only
	// poisonOwners nodes by the request's fingerprint, who count its ends for all.
	tellAllNodes = 16
	poisonOwners = 5
	// removeInterval spaces looks at all stored records: one at 4,096 takes 2 ms, on each step it made a request nine times as dear.
	removeInterval = 10 * time.Second
	// mostTests is how often in all a convicted request is sent once more: three further
	// sends are what the users allow. testSpacing leaves the node that has the first one the
	// time to use it.
	mostTests   = 2
	testSpacing = 10 * time.Second
	// poisonAskHold is for how long a node that began or stood still sends nothing after it
	// has asked others what the store may not have: what waits by then would be sent in the
	// same instant. A message and its answer take 2 to 40 ms within a region.
	poisonAskHold = 50 * time.Millisecond
	// poisonWriteRetry spaces attempts to write a record to the store; it doubles up to
	// longestPoisonWriteRetry.
	poisonWriteRetry = time.Second
	// poisonBackup is after how long others write a record that the store still lacks: the
	// node that found it may have ended.
	poisonBackup            = 2 * time.Second
	longestPoisonWriteRetry = 8 * time.Second
)

// telling is a record that is to be told.
type telling struct {
	left int
	next time.Time
	// wait until the one after next.
	wait time.Duration
}

// poisonWrite is a record that the store lacks.
type poisonWrite struct {
	// idle is set where other nodes are to write it.
	idle     bool
	next     time.Time
	wait     time.Duration
	underWay bool
}

// storedPoison is what is known of a record in the store.
type storedPoison struct {
	PoisonStored
	// since is when this node read it.
	since time.Time
	// claimed is when this node last asked the store for a test, zero for not.
	claimed time.Time
}

// poisonKeeper tells other nodes and the store of requests that end machines, and learns
// from them.
type poisonKeeper struct {
	core     *Core
	tellings map[poison.Fingerprint]*telling
	writes   map[poison.Fingerprint]*poisonWrite
	// removals are records that are to be deleted from the store.
	removals map[poison.Fingerprint]*poisonWrite
	// stored are the requests that have a record in the store.
	stored map[poison.Fingerprint]*storedPoison
	// received are the requests that the present event says are convicted.
	received map[poison.Fingerprint]bool
	// lifted are the requests of which all nodes must learn that they are convicted no more.
	lifted   map[poison.Fingerprint]bool
	learning bool
	lastTold time.Time
	// removeAt is when the holder next looks for records whose time is over.
	removeAt time.Time
	// asked is set once other nodes were asked for what the store may not have; until
	// heldUntil their answers are waited for.
	asked     bool
	heldUntil time.Time
}

func newPoisonKeeper(core *Core) *poisonKeeper {
	return &poisonKeeper{
		core: core, tellings: map[poison.Fingerprint]*telling{}, writes: map[poison.Fingerprint]*poisonWrite{}, removals: map[poison.Fingerprint]*poisonWrite{},
		stored: map[poison.Fingerprint]*storedPoison{}, received: map[poison.Fingerprint]bool{}, lifted: map[poison.Fingerprint]bool{},
	}
}

// convicts reports whether a record forbids that its request is sent.
func (k *poisonKeeper) convicts(record *poison.Record) bool {
	return k.core.config.Routing.Poison.Convicts(record)
}

// found takes what the router newly knows. What others told is not told on, but for a
// conviction that only follows from it together with what was known here.
func (k *poisonKeeper) found(records []poison.Record) {
	for i := range records {
		record := &records[i]
		convicts := k.convicts(record)
		if convicts && k.stored[record.Content] == nil {
			k.mustStore(record.Content)
		}
		if k.learning && (!convicts || k.received[record.Content]) {
			continue
		}
		k.log(record, convicts)
		k.tellings[record.Content] = &telling{left: poisonTellings, next: k.core.now, wait: poisonRepeat}
		if record.Standing() == 0 {
			k.remove(record.Content)
		}
	}
}

// mustStore sees to it that a conviction comes into the store: the node that found it writes
// it at once, a few others when it isn't there a while later.
func (k *poisonKeeper) mustStore(content poison.Fingerprint) {
	if k.writes[content] != nil {
		return
	}
	due := &poisonWrite{next: k.core.now, wait: poisonWriteRetry}
	if k.learning && k.received[content] {
		due.next = k.core.now.Add(poisonBackup)
		due.idle = !slices.Contains(k.owners(content), k.core.config.Self.ID)
	}
	k.writes[content] = due
}

// owners lists the few nodes that count a request's ends where there are many.
func (k *poisonKeeper) owners(content poison.Fingerprint) []cluster.NodeID {
	ids := slices.Collect(maps.Keys(k.core.nodes))
	slices.SortFunc(ids, func(a, b cluster.NodeID) int {
		return cmp.Or(cmp.Compare(ownerRank(b, content), ownerRank(a, content)), cmp.Compare(a, b))
	})
	return ids[:min(len(ids), poisonOwners)]
}

func (k *poisonKeeper) log(record *poison.Record, convicts bool) {
	line := eventlog.PoisonJudged{Content: record.Content.String(), Machines: joinMachines(record.Ends), Ends: record.Standing(), Outcome: "suspected"}
	switch {
	case convicts:
		line.Outcome = "convicted"
	case line.Ends == 0:
		line.Outcome = "cleared"
	}
	k.core.log(line)
}

func joinMachines(ids []cluster.MachineID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, ",")
}

// learn hands records of others to the router.
func (k *poisonKeeper) learn(records []poison.Record) {
	for i := range records {
		if k.convicts(&records[i]) {
			k.received[records[i].Content] = true
		}
	}
	k.learning = true
	k.core.routing(routing.PoisonLearned{Records: records})
	k.learning = false
	clear(k.received)
}

// told takes another node's message. One that doesn't know of a conviction is answered.
func (k *poisonKeeper) told(message *wire.PoisonReport) {
	if unstored := k.unstored(); len(message.Records) == 0 && len(unstored) > 0 {
		k.send(message.FromAddress, unstored)
	}
	k.learn(message.Records)
	var unknown []poison.Record
	for i := range message.Records {
		said := &message.Records[i]
		known, found := k.core.router.PoisonRecord(said.Content)
		if found && k.convicts(&known) && !k.convicts(said) {
			unknown = append(unknown, known)
		}
	}
	if len(unknown) > 0 {
		k.send(message.FromAddress, unknown)
	}
}

// nodeCame tells a node that is new here of the convictions that the store may not have yet.
func (k *poisonKeeper) nodeCame(entry NodeEntry) {
	if unstored := k.unstored(); len(unstored) > 0 && entry.ID != k.core.config.Self.ID {
		k.send(entry.Address, unstored)
	}
}

// unstored lists the convictions that the store lacks as far as this node knows.
func (k *poisonKeeper) unstored() []poison.Record {
	var unstored []poison.Record
	for _, content := range sortedContents(k.writes) {
		if record, found := k.core.router.PoisonRecord(content); found && k.convicts(&record) {
			unstored = append(unstored, record)
		}
	}
	return unstored
}

// ask asks some nodes, once after a start or pause, for what the store may not have: a
// message without records.
func (k *poisonKeeper) ask() {
	self := poison.Content{Caller: string(k.core.config.Self.ID)}
	ids := slices.DeleteFunc(k.owners(self.Fingerprint()), func(id cluster.NodeID) bool { return id == k.core.config.Self.ID })
	if k.asked || len(ids) == 0 {
		return
	}
	k.asked, k.heldUntil = true, k.core.now.Add(poisonAskHold)
	k.core.routing(routing.DispatchesHeld{Until: k.heldUntil})
	for _, id := range ids {
		k.send(k.core.nodes[id].Address, nil)
	}
}

// read takes the store's records.
func (k *poisonKeeper) read(read PoisonRead) {
	if read.Full {
		for _, content := range sortedContents(k.stored) {
			if !slices.ContainsFunc(read.Records, func(r PoisonStored) bool { return r.Record.Content == content }) {
				read.Gone = append(read.Gone, content)
			}
		}
	}
	var granted []poison.Fingerprint
	records := make([]poison.Record, 0, len(read.Records))
	for i := range read.Records {
		record := &read.Records[i]
		content := record.Record.Content
		before := k.stored[content]
		k.stored[content] = &storedPoison{PoisonStored: *record, since: k.core.now}
		if before != nil && !before.claimed.IsZero() && before.Tests < record.Tests && record.Tester == k.core.config.Self.ID {
			granted = append(granted, content)
		}
		delete(k.writes, content)
		records = append(records, record.Record)
	}
	k.learn(records)
	for i := range records {
		if known, found := k.core.router.PoisonRecord(records[i].Content); found && k.convicts(&records[i]) && !k.convicts(&known) {
			// It was found harmless, and the record that says otherwise was read since.
			k.remove(records[i].Content)
		}
	}
	for _, content := range granted {
		k.core.routing(routing.PoisonTestGranted{Content: content})
	}
	for _, content := range read.Gone {
		if k.stored[content] != nil {
			delete(k.stored, content)
			k.core.routing(routing.PoisonPardoned{Content: content})
		}
	}
}

// tick tells and writes what is due.
func (k *poisonKeeper) tick() {
	k.tell()
	k.write()
	k.removeOver()
}

// tell sends the records that are due, one message to each node.
func (k *poisonKeeper) tell() {
	now := k.core.now
	if len(k.tellings) == 0 || now.Sub(k.lastTold) < poisonSpacing {
		return
	}
	byNode := map[cluster.NodeID][]poison.Record{}
	for _, content := range sortedContents(k.tellings) {
		due := k.tellings[content]
		if due.next.After(now) {
			continue
		}
		record, found := k.core.router.PoisonRecord(content)
		due.next, due.wait = now.Add(due.wait), 3*due.wait
		if found {
			for _, id := range k.recipients(&record) {
				byNode[id] = append(byNode[id], record)
			}
		}
		if due.left--; !found || due.left == 0 {
			delete(k.tellings, content)
			delete(k.lifted, content)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(byNode)) {
		k.lastTold = now
		k.send(k.core.nodes[id].Address, byNode[id])
	}
}

func (k *poisonKeeper) send(address string, records []poison.Record) {
	self := &k.core.config.Self
	k.core.send(address, wire.PoisonReport{From: self.ID, FromAddress: self.Address, Records: records})
}

// recipients lists the nodes that are told of a record: all of a conviction, or where there
// are few nodes; else those that count the request's ends.
func (k *poisonKeeper) recipients(record *poison.Record) []cluster.NodeID {
	var ids []cluster.NodeID
	if len(k.core.nodes) <= tellAllNodes || k.convicts(record) || k.lifted[record.Content] {
		ids = slices.Collect(maps.Keys(k.core.nodes))
	} else {
		ids = k.owners(record.Content)
	}
	return slices.DeleteFunc(ids, func(id cluster.NodeID) bool { return id == k.core.config.Self.ID })
}

// ownerRank is a node's place among those that may count a request's ends: rendezvous
// hashing, so that a node that comes or goes moves few requests.
func ownerRank(id cluster.NodeID, content poison.Fingerprint) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write(content[:])
	_, _ = hash.Write([]byte(id))
	return mix(hash.Sum64())
}

// mix spreads the differences of a hash's last bytes over all bits (SplitMix64's finalizer).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// write puts convictions into the store, one call for each.
func (k *poisonKeeper) write() {
	if next := k.writeDue(); next.IsZero() || next.After(k.core.now) {
		return
	}
	k.deleteDue()
	for _, content := range sortedContents(k.writes) {
		due := k.writes[content]
		record, found := k.core.router.PoisonRecord(content)
		if !found || !k.convicts(&record) {
			delete(k.writes, content)
			continue
		}
		if due.idle || due.underWay || due.next.After(k.core.now) {
			continue
		}
		due.underWay = true
		k.core.emit(StoreWrite{Key: KeyPoison + content.String(), Value: encodePoison(&PoisonStored{Record: record})})
	}
}

// deleteDue deletes the records whose time for it has come.
func (k *poisonKeeper) deleteDue() {
	for _, content := range sortedContents(k.removals) {
		due, stored := k.removals[content], k.stored[content]
		switch {
		case stored == nil:
			delete(k.removals, content)
		case !due.underWay && !due.next.After(k.core.now):
			due.underWay = true
			k.core.emit(StoreWrite{Key: KeyPoison + content.String(), Delete: true, Revision: stored.Revision})
		}
	}
}

// testWanted claims one of the few tests of a convicted request: the store lets one node
// have it. A node that ends before it uses it leaves the request to the next test.
func (k *poisonKeeper) testWanted(content poison.Fingerprint) {
	stored := k.stored[content]
	if stored == nil || stored.Tests >= mostTests || stored.Tests > 0 && k.core.now.Sub(stored.since) < testSpacing ||
		k.core.now.Sub(stored.claimed) < poisonWriteRetry {
		return
	}
	stored.claimed = k.core.now
	claim := PoisonStored{Record: stored.Record, Tests: stored.Tests + 1, Tester: k.core.config.Self.ID}
	k.core.emit(StoreWrite{Key: KeyPoison + content.String(), Value: encodePoison(&claim), Revision: stored.Revision})
}

// written takes the outcome of a write. A record that another node wrote before counts.
func (k *poisonKeeper) written(answered StoreWritten) {
	content, err := poison.ParseFingerprint(strings.TrimPrefix(answered.Key, KeyPoison))
	if err != nil {
		return
	}
	// What is neither is the claim of a test: the record tells what became of it.
	for _, pending := range []map[poison.Fingerprint]*poisonWrite{k.writes, k.removals} {
		due := pending[content]
		switch {
		case due == nil:
		case answered.Err == nil:
			delete(pending, content)
		default:
			due.underWay, due.next = false, k.core.now.Add(due.wait)
			due.wait = min(2*due.wait, longestPoisonWriteRetry)
		}
	}
}

// remove sees to it that the record of a request is deleted that is not to blame any more:
// nodes that start would refuse it by the record.
func (k *poisonKeeper) remove(content poison.Fingerprint) {
	if k.stored[content] != nil && k.removals[content] == nil {
		k.lifted[content] = true
		k.removals[content] = &poisonWrite{next: k.core.now, wait: poisonWriteRetry}
	}
}

// removeOver has the holder of the lease delete the records whose time is over.
func (k *poisonKeeper) removeOver() {
	if len(k.stored) == 0 || k.core.now.Before(k.removeAt) || !k.core.cell.ledger.Holding() {
		return
	}
	k.removeAt = k.core.now.Add(removeInterval)
	for _, content := range sortedContents(k.stored) {
		if _, kept := k.core.router.PoisonRecord(content); !kept {
			k.remove(content)
		}
	}
}

// due returns when something is to be told or written, zero for never.
func (k *poisonKeeper) due() time.Time {
	var next time.Time
	for _, due := range k.tellings {
		at := due.next
		if spaced := k.lastTold.Add(poisonSpacing); at.Before(spaced) {
			at = spaced
		}
		next = earliest(next, at)
	}
	if k.heldUntil.After(k.core.now) {
		next = earliest(next, k.heldUntil)
	}
	if at := k.writeDue(); !at.IsZero() {
		next = earliest(next, at)
	}
	return next
}

// writeDue returns when a record is to be written next, zero for never.
func (k *poisonKeeper) writeDue() time.Time {
	var next time.Time
	for _, pending := range []map[poison.Fingerprint]*poisonWrite{k.writes, k.removals} {
		for _, due := range pending {
			if !due.idle && !due.underWay {
				next = earliest(next, due.next)
			}
		}
	}
	return next
}

func sortedContents[V any](of map[poison.Fingerprint]V) []poison.Fingerprint {
	return slices.SortedFunc(maps.Keys(of), func(a, b poison.Fingerprint) int { return slices.Compare(a[:], b[:]) })
}

// poisonDocument is a record's form in the store.
type poisonDocument struct {
	Ends    []cluster.MachineID `json:"ends"`
	Cleared []cluster.MachineID `json:"cleared,omitempty"`
	Tests   int                 `json:"tests,omitempty"`
	Tester  cluster.NodeID      `json:"tester,omitempty"`
}

func encodePoison(stored *PoisonStored) []byte {
	record := &stored.Record
	data, err := json.Marshal(poisonDocument{Ends: record.Ends, Cleared: record.Cleared, Tests: stored.Tests, Tester: stored.Tester})
	if err != nil {
		return nil
	}
	return data
}

// DecodePoison reads a record of the store; its revision is left to the caller.
func DecodePoison(key string, value []byte) (PoisonStored, error) {
	content, err := poison.ParseFingerprint(strings.TrimPrefix(key, KeyPoison))
	if err != nil {
		return PoisonStored{}, err
	}
	stored := PoisonStored{Record: poison.Record{Content: content}}
	var document poisonDocument
	if err := json.Unmarshal(value, &document); err != nil {
		return stored, eris.Wrap(err, "record of a poison request")
	}
	record := poison.Record{Content: content, Ends: document.Ends, Cleared: document.Cleared}
	stored.Record, stored.Tests, stored.Tester = record.Valid(), document.Tests, document.Tester
	return stored, nil
}
