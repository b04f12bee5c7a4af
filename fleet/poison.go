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
	// poisonWriteRetry spaces attempts to write a record to the store; it doubles up to
	// longestPoisonWriteRetry.
	poisonWriteRetry        = time.Second
	longestPoisonWriteRetry = 8 * time.Second
)

// telling is a record that is to be told.
type telling struct {
	left int
	next time.Time
	// wait until the one after next.
	wait time.Duration
}

// poisonWrite is a record that is to be written to the store.
type poisonWrite struct {
	next     time.Time
	wait     time.Duration
	underWay bool
}

// poisonKeeper tells other nodes and the store of requests that end machines, and learns
// from them.
type poisonKeeper struct {
	core     *Core
	tellings map[poison.Fingerprint]*telling
	writes   map[poison.Fingerprint]*poisonWrite
	// stored are the requests that have a record in the store, by its revision.
	stored map[poison.Fingerprint]int64
	// received are the requests that the present event says are convicted.
	received map[poison.Fingerprint]bool
	learning bool
	lastTold time.Time
}

func newPoisonKeeper(core *Core) *poisonKeeper {
	return &poisonKeeper{
		core: core, tellings: map[poison.Fingerprint]*telling{}, writes: map[poison.Fingerprint]*poisonWrite{},
		stored: map[poison.Fingerprint]int64{}, received: map[poison.Fingerprint]bool{},
	}
}

// convicts reports whether a record forbids that its request is sent.
func (k *poisonKeeper) convicts(record *poison.Record) bool {
	return record.Standing() >= cmp.Or(k.core.config.Routing.Poison.Ends, poison.DefaultEnds)
}

// found takes what the router newly knows. What others told is not told on, but for a
// conviction that only follows from it together with what was known here.
func (k *poisonKeeper) found(records []poison.Record) {
	for i := range records {
		record := &records[i]
		convicts := k.convicts(record)
		if k.learning && (!convicts || k.received[record.Content]) {
			continue
		}
		k.log(record, convicts)
		k.tellings[record.Content] = &telling{left: poisonTellings, next: k.core.now, wait: poisonRepeat}
		if convicts && k.stored[record.Content] == 0 {
			k.writes[record.Content] = &poisonWrite{next: k.core.now, wait: poisonWriteRetry}
		}
	}
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

// read takes the store's records.
func (k *poisonKeeper) read(read PoisonRead) {
	if read.Full {
		for _, content := range sortedContents(k.stored) {
			if !slices.ContainsFunc(read.Records, func(r PoisonStored) bool { return r.Record.Content == content }) {
				read.Gone = append(read.Gone, content)
			}
		}
	}
	records := make([]poison.Record, 0, len(read.Records))
	for i := range read.Records {
		record := &read.Records[i]
		k.stored[record.Record.Content] = record.Revision
		delete(k.writes, record.Record.Content)
		records = append(records, record.Record)
	}
	k.learn(records)
	for _, content := range read.Gone {
		if k.stored[content] != 0 {
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
		if due.left--; !found || due.left == 0 {
			delete(k.tellings, content)
		}
		due.next, due.wait = now.Add(due.wait), 3*due.wait
		if found {
			for _, id := range k.recipients(&record) {
				byNode[id] = append(byNode[id], record)
			}
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
	ids := make([]cluster.NodeID, 0, len(k.core.nodes))
	for id := range k.core.nodes {
		if id != k.core.config.Self.ID {
			ids = append(ids, id)
		}
	}
	if len(ids) <= tellAllNodes || k.convicts(record) {
		return ids
	}
	slices.SortFunc(ids, func(a, b cluster.NodeID) int {
		return cmp.Or(cmp.Compare(ownerRank(b, record.Content), ownerRank(a, record.Content)), cmp.Compare(a, b))
	})
	return ids[:poisonOwners]
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
	for _, content := range sortedContents(k.writes) {
		due := k.writes[content]
		if due.underWay || due.next.After(k.core.now) {
			continue
		}
		record, found := k.core.router.PoisonRecord(content)
		if !found || !k.convicts(&record) {
			delete(k.writes, content)
			continue
		}
		due.underWay = true
		k.core.emit(StoreWrite{Key: KeyPoison + content.String(), Value: encodePoison(&record)})
	}
}

// written takes the outcome of a write. A record that another node wrote before counts.
func (k *poisonKeeper) written(answered StoreWritten) {
	content, err := poison.ParseFingerprint(strings.TrimPrefix(answered.Key, KeyPoison))
	due := k.writes[content]
	if err != nil || due == nil {
		return
	}
	if answered.Err == nil {
		delete(k.writes, content)
		return
	}
	due.underWay, due.next = false, k.core.now.Add(due.wait)
	due.wait = min(2*due.wait, longestPoisonWriteRetry)
}

// removeOver has the holder of the lease delete the records whose time is over.
func (k *poisonKeeper) removeOver() {
	if len(k.stored) == 0 || !k.core.cell.ledger.Holding() {
		return
	}
	for _, content := range sortedContents(k.stored) {
		if _, kept := k.core.router.PoisonRecord(content); !kept && k.stored[content] > 0 {
			k.core.emit(StoreWrite{Key: KeyPoison + content.String(), Delete: true, Revision: k.stored[content]})
			delete(k.stored, content)
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
	for _, due := range k.writes {
		if !due.underWay {
			next = earliest(next, due.next)
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
}

func encodePoison(record *poison.Record) []byte {
	data, err := json.Marshal(poisonDocument{Ends: record.Ends, Cleared: record.Cleared})
	if err != nil {
		return nil
	}
	return data
}

// DecodePoison reads a record of the store.
func DecodePoison(key string, value []byte) (poison.Record, error) {
	content, err := poison.ParseFingerprint(strings.TrimPrefix(key, KeyPoison))
	if err != nil {
		return poison.Record{}, err
	}
	var document poisonDocument
	if err := json.Unmarshal(value, &document); err != nil {
		return poison.Record{Content: content}, eris.Wrap(err, "record of a poison request")
	}
	record := poison.Record{Content: content, Ends: document.Ends, Cleared: document.Cleared}
	return record.Valid(), nil
}
