package fleet

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

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
	// removeInterval spaces looks at all stored records: one at 4,096 takes 2 ms, and on each
	// step it made a small request nine times as dear.
	removeInterval = 10 * time.Second
	// mostTests is how often in all a convicted request is sent once more: three further
	// sends are what the users allow. testSpacing leaves the node that has the first one the
	// time to use it. A node that has ended meanwhile is waited for no longer, and one more
	// test follows its last one: what many ask for was refused for an hour once both nodes
	// that were to try it had been stopped. So does one that follows a test by which no machine
	// ended and none answered.
	mostTests   = 2
	testSpacing = 10 * time.Second
	// poisonAskHold is for how long a node that began or stood still sends nothing after it
	// has asked others what the store may not have: what waits by then would be sent in the
	// same instant. A message and its answer take 2 to 40 ms within a region.
	poisonAskHold = 50 * time.Millisecond
	// poisonWriteRetry spaces attempts to write a record to the store; it doubles up to
	// longestPoisonWriteRetry.
	poisonWriteRetry        = time.Second
	longestPoisonWriteRetry = 8 * time.Second
	// poisonBackup is after how long others write a record that the store still lacks: the
	// node that found it may have ended.
	poisonBackup = 2 * time.Second
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
	idle bool
	// revision of the record that it takes the place of, zero for none.
	revision int64
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
		k.tellings[record.Content] = &telling{left: k.tellingsOf(convicts), next: k.core.now, wait: poisonRepeat}
		if record.Standing() == 0 {
			k.remove(record.Content)
		}
	}
}

// tellingsOf is how often a record is told: once where many nodes are told of a conviction,
// which the store's record brings as well.
func (k *poisonKeeper) tellingsOf(convicts bool) int {
	if convicts && len(k.core.nodes.live) > tellAllNodes {
		return 1
	}
	return poisonTellings
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
	ids := slices.Collect(maps.Keys(k.core.nodes.live))
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
	if k.asked {
		return
	}
	self := poison.Content{Caller: string(k.core.config.Self.ID)}
	ids := slices.DeleteFunc(k.owners(self.Fingerprint()), func(id cluster.NodeID) bool { return id == k.core.config.Self.ID })
	if len(ids) == 0 {
		return
	}
	k.asked, k.heldUntil = true, k.core.now.Add(poisonAskHold)
	k.core.routing(routing.DispatchesHeld{Until: k.heldUntil})
	for _, id := range ids {
		k.send(k.core.nodes.live[id].Address, nil)
	}
}

// read takes the store's records.
func (k *poisonKeeper) read(read PoisonRead) {
	if read.Full {
		for _, content := range sortedContents(k.stored) {
			if !read.names(content) {
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
	for i := range read.Unread {
		k.replace(&read.Unread[i])
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

// names reports whether there is a record of the request, readable or not.
func (r *PoisonRead) names(content poison.Fingerprint) bool {
	same := func(stored PoisonStored) bool { return stored.Record.Content == content }
	return slices.ContainsFunc(r.Records, same) || slices.ContainsFunc(r.Unread, same)
}

// replace writes a record anew that can't be read, if this node knows what it said.
func (k *poisonKeeper) replace(unread *PoisonStored) {
	content := unread.Record.Content
	known, found := k.core.router.PoisonRecord(content)
	if !found || !k.convicts(&known) {
		return
	}
	k.mustStore(content)
	k.writes[content].revision = unread.Revision
	k.writes[content].idle = false
}

// tick tells and writes what is due.
func (k *poisonKeeper) tick() {
	k.tell()
	k.write()
	k.removeOver()
}

// due returns when something is to be told or written, zero for never.
func (k *poisonKeeper) due() time.Time {
	var next time.Time
	for _, at := range []time.Time{k.tellDue(), k.writeDue()} {
		if !at.IsZero() {
			next = earliest(next, at)
		}
	}
	if k.heldUntil.After(k.core.now) {
		next = earliest(next, k.heldUntil)
	}
	return next
}

func sortedContents[V any](of map[poison.Fingerprint]V) []poison.Fingerprint {
	return slices.SortedFunc(maps.Keys(of), func(a, b poison.Fingerprint) int { return slices.Compare(a[:], b[:]) })
}
