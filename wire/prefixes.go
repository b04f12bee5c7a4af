package wire

import (
	"encoding/binary"

	"github.com/valveslip/valveslip/cluster"
)

// PrefixGroup lists prompts that a machine's engine has read for one model.
type PrefixGroup struct {
	Machine cluster.MachineID
	Model   cluster.ModelID
	// Hashes of the prompts' longest noted prefixes, newest first.
	Hashes []uint64
}

// SentPrefixes tells which prompts went where, so that other routers of the zone
// find the engines that have them cached. It flows from each router to the
// controller of its zone and, summed up, from there to the zone's routers. It is
// a hint: losing one costs time to first token only. A node that does not know
// the message ignores it.
type SentPrefixes struct {
	From cluster.NodeID
	Zone cluster.ZoneID
	// Relayed is true from the controller to the routers.
	Relayed bool
	Groups  []PrefixGroup
}

func (SentPrefixes) message() {}

// CacheMoved tells a zone's routers that the cache of a model on a machine that
// leaves is on another machine too. It is a hint like SentPrefixes.
type CacheMoved struct {
	Zone            cluster.ZoneID
	Model           cluster.ModelID
	Machine, Target cluster.MachineID
}

func (CacheMoved) message() {}

type cacheMovedRecord CacheMoved

func (r *cacheMovedRecord) decoded() Message { return CacheMoved(*r) }

// prefixHash is a hash on the wire, in big-endian order.
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
	return &sentPrefixesRecord{From: m.From, Zone: m.Zone, Relayed: m.Relayed, Groups: convert(m.Groups, prefixGroupToRecord)}
}

func prefixGroupToRecord(group PrefixGroup) prefixGroupRecord {
	return prefixGroupRecord{Machine: group.Machine, Model: group.Model, Hashes: convert(group.Hashes, func(hash uint64) (encoded prefixHash) {
		binary.BigEndian.PutUint64(encoded[:], hash)
		return encoded
	})}
}

func (r *sentPrefixesRecord) decoded() Message {
	return SentPrefixes{From: r.From, Zone: r.Zone, Relayed: r.Relayed, Groups: convert(r.Groups, func(group prefixGroupRecord) PrefixGroup {
		return PrefixGroup{Machine: group.Machine, Model: group.Model, Hashes: convert(group.Hashes, func(encoded prefixHash) uint64 {
			return binary.BigEndian.Uint64(encoded[:])
		})}
	})}
}
