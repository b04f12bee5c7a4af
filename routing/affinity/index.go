package affinity

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/valveslip/valveslip/cluster"
)

// Config configures an Index. A zero field takes the documented default.
type Config struct {
	// MaxBlocks bounds the remembered blocks; the oldest are evicted first. Default 32,768.
	MaxBlocks int
	// HalfLife is the half-life of an entry without further events. Default 5 min.
	HalfLife time.Duration
	// SentStrength is the strength of a block of a prompt that was sent to the machine. Default
	// 0.7.
	SentStrength float64
}

// holdersPerBlock bounds the machines remembered for one block.
const holdersPerBlock = 4

// minStrength is the strength below which an entry is ignored: such a block is rarely still cached.
const minStrength = 0.05

// restartGap is the decrease of the sequence number from which on an event shows a restart of the
// engine instead of a late event.
const restartGap = 1000

// Index holds the estimates of one router. It is a pure data structure and not safe for concurrent
// use.
type Index struct {
	config Config
	// slots gives the index of each known block in blocks. Once blocks is full, it is a ring, and
	// next is the index of the oldest block.
	slots    map[uint64]int32
	blocks   []block
	next     int
	machines map[cluster.MachineID]*machine
}

// blockKey identifies a prefix of one model.
func blockKey(model, prefix uint64) uint64 { return model ^ prefix }

// modelKey returns the hash of a model's ID.
func modelKey(model cluster.ModelID) uint64 { return xxhash.Sum64String(string(model)) }

// prefixLengths are the prefix lengths, in blocks, that are recorded and looked up. A match in
// between counts as the next shorter one. That bounds the work for a request to a few steps,
// however long its prompt is.
var prefixLengths = []int{1, 2, 4, 8, 16, 32, 64, 128, 256}

// block is a prefix of one model with the machines that may hold it.
type block struct {
	key     uint64
	model   uint64
	holders [holdersPerBlock]holder
	// overflowed is the time at which a holder that most likely still had the block was displaced
	// by another machine: more machines hold the block than are remembered.
	overflowed int64
}

const (
	// overflowTTL is how long after that a block counts as held by more machines than are
	// remembered, so that Lookup returns no match for it.
	overflowTTL = int64(time.Minute)
	// overflowStrength is the strength from which on a displaced holder counts: a weaker one has
	// probably evicted the block.
	overflowStrength = 0.5
)

// holder is one machine that may hold the block.
type holder struct {
	machine *machine
	at      int64
	// epoch and reliability are those of the machine when the entry was made.
	epoch       uint32
	reliability float32
	strength    float32
}

// machine is the state of one engine's event stream.
type machine struct {
	id       cluster.MachineID
	sequence uint64
	// epoch counts restarts; entries of earlier epochs are invalid.
	epoch uint32
	// reliability falls with every missed event. An entry's strength is scaled by the ratio of the
	// present reliability to that at its creation.
	reliability float64
	// blocks is the approximate number of entries of the machine.
	blocks int
}

// Match is the expected cached part of a prompt on one machine.
type Match struct {
	Machine cluster.MachineID
	// Blocks is the expected number of cached blocks: the matched length times its strength.
	Blocks float64
}

// New returns an empty index.
func New(config Config) *Index {
	if config.MaxBlocks <= 0 {
		config.MaxBlocks = 1 << 15
	}
	if config.HalfLife <= 0 {
		config.HalfLife = 5 * time.Minute
	}
	if config.SentStrength <= 0 {
		config.SentStrength = 0.7
	}
	return &Index{
		config:   config,
		slots:    make(map[uint64]int32),
		machines: make(map[cluster.MachineID]*machine),
	}
}

// Len returns the number of remembered blocks.
func (x *Index) Len() int { return len(x.slots) }

// find returns a known block, or nil.
func (x *Index) find(key uint64) *block {
	slot, known := x.slots[key]
	if !known {
		return nil
	}
	return &x.blocks[slot]
}

// Apply processes one cache event. A late event is ignored, unless it is an eviction.
func (x *Index) Apply(nanos int64, event cluster.CacheEvent) {
	known := x.machine(event.Machine)
	late := known.advanceSequence(event.Sequence)
	model := modelKey(event.Model)
	if event.Evicted {
		x.removeHolder(blockKey(model, event.PrefixHash), known)
		return
	}
	if !late {
		x.addHolder(nanos, model, event.PrefixHash, known, 1)
	}
}

// AddSent records that a prompt with these prefix blocks was sent to a machine, whose engine is
// expected to cache them.
func (x *Index) AddSent(nanos int64, to cluster.MachineID, model cluster.ModelID, prefixes []uint64) {
	known := x.machine(to)
	modelHash := modelKey(model)
	for _, length := range prefixLengths {
		if length > len(prefixes) {
			return
		}
		x.addHolder(nanos, modelHash, prefixes[length-1], known, x.config.SentStrength)
	}
}

// Forget removes everything known of a machine.
func (x *Index) Forget(id cluster.MachineID) {
	if known := x.machines[id]; known != nil {
		known.epoch++
		delete(x.machines, id)
	}
}

// Lookup returns the machines that hold the longest known prefix of a prompt, given its prefix
// blocks from the shortest to the longest. It fills and returns the buffer. It returns no match if
// more machines hold that prefix than are remembered: otherwise every prompt with the same
// beginning would be sent to these few machines.
func (x *Index) Lookup(nanos int64, model cluster.ModelID, prefixes []uint64, buffer []Match) []Match {
	buffer = buffer[:0]
	modelHash := modelKey(model)
	for i := len(prefixLengths) - 1; i >= 0 && len(buffer) == 0; i-- {
		length := prefixLengths[i]
		if length > len(prefixes) {
			continue
		}
		found := x.find(blockKey(modelHash, prefixes[length-1]))
		if found == nil {
			continue
		}
		if found.overflowed != 0 && nanos-found.overflowed < overflowTTL {
			return buffer
		}
		for h := range found.holders {
			if strength := x.strength(nanos, &found.holders[h]); strength >= minStrength {
				buffer = append(buffer, Match{
					Machine: found.holders[h].machine.id, Blocks: float64(length) * strength,
				})
			}
		}
	}
	return buffer
}

// strength returns the probability that the holder still has its block.
func (x *Index) strength(nanos int64, h *holder) float64 {
	if !h.current() {
		return 0
	}
	age := math.Exp2(-float64(nanos-h.at) / float64(x.config.HalfLife))
	return float64(h.strength) * age * h.machine.reliability / float64(h.reliability)
}

// current reports whether the entry belongs to the machine's current epoch.
func (h *holder) current() bool { return h.machine != nil && h.epoch == h.machine.epoch }

// clear empties the entry.
func (h *holder) clear() {
	if h.current() {
		h.machine.blocks--
	}
	*h = holder{}
}

// machine returns the state of a machine and creates it if necessary.
func (x *Index) machine(id cluster.MachineID) *machine {
	known := x.machines[id]
	if known == nil {
		known = &machine{id: id, reliability: 1}
		x.machines[id] = known
	}
	return known
}

// minReliability is the reliability below which the scale restarts, before it loses precision;
// entries made on the old scale have no strength left by then.
const minReliability = 1e-9

// advanceSequence processes the sequence number of an event and reports whether the event is late.
func (m *machine) advanceSequence(sequence uint64) bool {
	switch {
	case m.sequence == 0 || sequence == m.sequence+1:
	case sequence+restartGap < m.sequence || (sequence == 1 && m.sequence > 1):
		m.epoch++
		m.reliability, m.blocks = 1, 0
	case sequence <= m.sequence:
		return true
	default:
		m.discountMissed(sequence - m.sequence - 1)
	}
	m.sequence = sequence
	return false
}

// minCachedBlocks is the least number of blocks that an engine's cache is taken to hold.
const minCachedBlocks = 32

// discountMissed lowers the reliability. Each missed event is taken to be an eviction with
// probability one half, and then of any one of the machine's blocks.
func (m *machine) discountMissed(events uint64) {
	cached := float64(max(m.blocks, minCachedBlocks))
	m.reliability *= math.Exp(-float64(events) / (2 * cached))
	if m.reliability < minReliability {
		m.epoch++
		m.reliability, m.blocks = 1, 0
	}
}

// addHolder records that a machine holds a block. If the block has no free entry, the machine
// replaces the weakest holder.
func (x *Index) addHolder(nanos int64, model, prefix uint64, holding *machine, strength float64) {
	key := blockKey(model, prefix)
	found := x.find(key)
	if found == nil {
		found = x.insert(key, model)
	}
	slot := 0
	lowest := math.Inf(1)
	for i := range found.holders {
		if found.holders[i].machine == holding {
			slot = i
			strength = max(strength, x.strength(nanos, &found.holders[i]))
			break
		}
		if current := x.strength(nanos, &found.holders[i]); current < lowest {
			lowest, slot = current, i
		}
	}
	if lowest >= overflowStrength && found.holders[slot].machine != holding {
		found.overflowed = nanos
	}
	found.holders[slot].clear()
	holding.blocks++
	found.holders[slot] = holder{
		machine: holding, at: nanos, epoch: holding.epoch, reliability: float32(holding.reliability), strength: float32(strength),
	}
}

// insert adds a block and evicts the oldest one if the index is full.
func (x *Index) insert(key, model uint64) *block {
	slot := len(x.blocks)
	if slot < x.config.MaxBlocks {
		x.blocks = append(x.blocks, block{key: key, model: model})
	} else {
		slot = x.next
		x.next = (x.next + 1) % len(x.blocks)
		x.evict(&x.blocks[slot])
		x.blocks[slot].key, x.blocks[slot].model, x.blocks[slot].overflowed = key, model, 0
	}
	x.slots[key] = int32(slot)
	return &x.blocks[slot]
}

// evict removes a block from the index.
func (x *Index) evict(old *block) {
	for i := range old.holders {
		old.holders[i].clear()
	}
	delete(x.slots, old.key)
}

// removeHolder removes a machine from the holders of a block.
func (x *Index) removeHolder(key uint64, holding *machine) {
	found := x.find(key)
	if found == nil {
		return
	}
	for i := range found.holders {
		if found.holders[i].machine == holding {
			found.holders[i].clear()
		}
	}
}
