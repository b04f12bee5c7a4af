package wire

import (
	"encoding/binary"

	"github.com/valveslip/valveslip/cluster"
)

// PrefixGroup lists prompts that a machine's engine has processed for one model.
type PrefixGroup struct {
	Machine cluster.MachineID
	Model   cluster.ModelID
	// Hashes are the hashes of the prompts' longest known prefixes, newest first.
	Hashes []uint64
}

// SentPrefixes reports which prompts were sent to which engines, so that other routers of the zone
// find the engines that have them cached. Each router sends it to the controller of its zone, which
// sends a summary to the routers of the zone. It is a hint: the loss of one costs time to first
// token only. A node that does not know the message ignores it.
type SentPrefixes struct {
	From cluster.NodeID
	Zone cluster.ZoneID
	// Relayed is true for messages from the controller to the routers.
	Relayed bool
	Groups  []PrefixGroup
}

func (SentPrefixes) message() {}

// CacheMoved informs a zone's routers that a model's cache on the leaving machine Machine is
// available on machine Target too. It is a hint like SentPrefixes.
type CacheMoved struct {
	Zone            cluster.ZoneID
	Model           cluster.ModelID
	Machine, Target cluster.MachineID
}

func (CacheMoved) message() {}

type cacheMovedRecord CacheMoved

func (r *cacheMovedRecord) toMessage() Message { return CacheMoved(*r) }

// prefixHash is a hash as sent on the wire, in big-endian order.
type prefixHash [8]byte

type prefixGroupRecord struct {
	Machine cluster.MachineID
	Model   cluster.ModelID
	Hashes  []prefixHash
}

type sentPrefixesRecord struct {
	From    cluster.NodeID
	Zone    cluster.ZoneID
	Relayed bool
	Groups  []prefixGroupRecord
}

func sentPrefixesToRecord(m SentPrefixes) *sentPrefixesRecord {
	return &sentPrefixesRecord{From: m.From, Zone: m.Zone, Relayed: m.Relayed, Groups: mapSlice(m.Groups, prefixGroupToRecord)}
}

func prefixGroupToRecord(group PrefixGroup) prefixGroupRecord {
	return prefixGroupRecord{Machine: group.Machine, Model: group.Model, Hashes: mapSlice(group.Hashes, func(hash uint64) (encoded prefixHash) {
		binary.BigEndian.PutUint64(encoded[:], hash)
		return encoded
	})}
}

func (r *sentPrefixesRecord) toMessage() Message {
	return SentPrefixes{From: r.From, Zone: r.Zone, Relayed: r.Relayed, Groups: mapSlice(r.Groups, func(group prefixGroupRecord) PrefixGroup {
		return PrefixGroup{Machine: group.Machine, Model: group.Model, Hashes: mapSlice(group.Hashes, func(encoded prefixHash) uint64 {
			return binary.BigEndian.Uint64(encoded[:])
		})}
	})}
}
