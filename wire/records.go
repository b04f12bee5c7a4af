package wire

import (
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// The record types mirror messages with unsigned integers. An Avro long is signed, so unsigned
// integers are converted to signed ones with the same bits. The field names of the records are those
// of the schemas. Nested types without unsigned integers are shared with the messages.

// record is a message in the form that the Avro codec reads and writes.
type record interface{ toMessage() Message }

type stampRecord struct {
	History  string
	Revision int64
	Digest   int64
}

func stampToRecord(s settings.Stamp) stampRecord {
	return stampRecord{History: s.History, Revision: s.Revision, Digest: int64(s.Digest)}
}

func (r stampRecord) stamp() settings.Stamp {
	return settings.Stamp{History: r.History, Revision: r.Revision, Digest: uint64(r.Digest)}
}

type memberRecord struct {
	Node        cluster.Node
	Incarnation int64
	State       string
}

type claimRecord struct {
	Zone  cluster.ZoneID
	Node  cluster.NodeID
	Token int64
}

type heartbeatRecord struct {
	From        cluster.Node
	Incarnation int64
	Sequence    int64
	Ack         bool
	Leaving     bool
	Stamp       stampRecord
	Claims      []claimRecord
	Gossip      []memberRecord

	MembersDigest int64
}

func heartbeatToRecord(m Heartbeat) *heartbeatRecord {
	return &heartbeatRecord{
		From: m.From, Incarnation: int64(m.Incarnation), Sequence: int64(m.Sequence),
		Ack: m.Ack, Leaving: m.Leaving, Stamp: stampToRecord(m.Stamp), MembersDigest: int64(m.MembersDigest),
		Claims: mapSlice(m.Claims, func(c ControllerClaim) claimRecord {
			return claimRecord{Zone: c.Zone, Node: c.Node, Token: int64(c.Token)}
		}),
		Gossip: mapSlice(m.Gossip, func(g MemberRecord) memberRecord {
			return memberRecord{Node: g.Node, Incarnation: int64(g.Incarnation), State: g.State}
		}),
	}
}

func (r *heartbeatRecord) toMessage() Message {
	return Heartbeat{
		From: r.From, Incarnation: uint64(r.Incarnation), Sequence: uint64(r.Sequence),
		Ack: r.Ack, Leaving: r.Leaving, Stamp: r.Stamp.stamp(), MembersDigest: uint64(r.MembersDigest),
		Claims: mapSlice(r.Claims, func(c claimRecord) ControllerClaim {
			return ControllerClaim{Zone: c.Zone, Node: c.Node, Token: cluster.FencingToken(c.Token)}
		}),
		Gossip: mapSlice(r.Gossip, func(g memberRecord) MemberRecord {
			return MemberRecord{Node: g.Node, Incarnation: uint64(g.Incarnation), State: g.State}
		}),
	}
}

type configurationRequestRecord struct {
	From        cluster.NodeID
	FromAddress string
	Stamp       stampRecord
}

func configurationRequestToRecord(m ConfigurationRequest) *configurationRequestRecord {
	return &configurationRequestRecord{From: m.From, FromAddress: m.FromAddress, Stamp: stampToRecord(m.Stamp)}
}

func (r *configurationRequestRecord) toMessage() Message {
	return ConfigurationRequest{From: r.From, FromAddress: r.FromAddress, Stamp: r.Stamp.stamp()}
}

type entryRecord struct {
	Revision int64
	Digest   int64
	Data     []byte
}

type configurationEntriesRecord struct {
	From        cluster.NodeID
	FromAddress string
	History     string
	After       int64
	Entries     []entryRecord
}

func configurationEntriesToRecord(m ConfigurationEntries) *configurationEntriesRecord {
	return &configurationEntriesRecord{
		From: m.From, FromAddress: m.FromAddress, History: m.History, After: m.After,
		Entries: mapSlice(m.Entries, func(e ConfigurationEntry) entryRecord {
			return entryRecord{Revision: e.Revision, Digest: int64(e.Digest), Data: e.Data}
		}),
	}
}

func (r *configurationEntriesRecord) toMessage() Message {
	return ConfigurationEntries{
		From: r.From, FromAddress: r.FromAddress, History: r.History, After: r.After,
		Entries: mapSlice(r.Entries, func(e entryRecord) ConfigurationEntry {
			return ConfigurationEntry{Revision: e.Revision, Digest: uint64(e.Digest), Data: e.Data}
		}),
	}
}

type configurationSnapshotRecord struct {
	From        cluster.NodeID
	FromAddress string
	Stamp       stampRecord
	Data        []byte
}

func configurationSnapshotToRecord(m ConfigurationSnapshot) *configurationSnapshotRecord {
	return &configurationSnapshotRecord{
		From: m.From, FromAddress: m.FromAddress, Stamp: stampToRecord(m.Stamp), Data: m.Data,
	}
}

func (r *configurationSnapshotRecord) toMessage() Message {
	return ConfigurationSnapshot{From: r.From, FromAddress: r.FromAddress, Stamp: r.Stamp.stamp(), Data: r.Data}
}

type demandRecord struct {
	From     cluster.NodeID
	Zone     cluster.ZoneID
	Sequence int64
	Full     bool
	Models   []ModelDemand
	Scopes   []ScopeDemand
	// Objectives holds the objectives of Models, in the same order. They are not a field of
	// the nested record because the codec tells versions of a record apart by the record's
	// own fields only.
	Objectives []time.Duration
	// PromptTokens holds the prompt tokens of Models, for the same reason.
	PromptTokens []int64
}

func demandToRecord(m Demand) *demandRecord {
	objectives := make([]time.Duration, len(m.Models))
	tokens := make([]int64, len(m.Models))
	for i := range m.Models {
		objectives[i], tokens[i] = m.Models[i].Objective, int64(m.Models[i].PromptTokens)
	}
	return &demandRecord{
		From: m.From, Zone: m.Zone, Sequence: int64(m.Sequence),
		Full: m.Full, Models: m.Models, Scopes: m.Scopes, Objectives: objectives, PromptTokens: tokens,
	}
}

func (r *demandRecord) toMessage() Message {
	for i := range min(len(r.Models), len(r.Objectives)) {
		r.Models[i].Objective = r.Objectives[i]
	}
	for i := range min(len(r.Models), len(r.PromptTokens)) {
		r.Models[i].PromptTokens = int(r.PromptTokens[i])
	}
	return Demand{
		From: r.From, Zone: r.Zone, Sequence: uint64(r.Sequence),
		Full: r.Full, Models: r.Models, Scopes: r.Scopes,
	}
}

type cellStatusRecord struct {
	Zone        cluster.ZoneID
	Region      cluster.RegionID
	From        cluster.NodeID
	FromAddress string
	Token       int64
	Sequence    int64
	Full        bool
	Replicas    []ReplicaRecord
	Loads       []MachineLoad
	Shares      []ScopeShare
	Allotted    []cluster.ModelID
}

func cellStatusToRecord(m CellStatus) *cellStatusRecord {
	return &cellStatusRecord{
		Zone: m.Zone, Region: m.Region, From: m.From, FromAddress: m.FromAddress,
		Token: int64(m.Token), Sequence: int64(m.Sequence), Full: m.Full,
		Replicas: m.Replicas, Loads: m.Loads, Shares: m.Shares, Allotted: m.Allotted,
	}
}

func (r *cellStatusRecord) toMessage() Message {
	return CellStatus{
		Zone: r.Zone, Region: r.Region, From: r.From, FromAddress: r.FromAddress,
		Token: cluster.FencingToken(r.Token), Sequence: uint64(r.Sequence), Full: r.Full,
		Replicas: r.Replicas, Loads: r.Loads, Shares: r.Shares, Allotted: r.Allotted,
	}
}

type cellStatusRequestRecord struct {
	Zone        cluster.ZoneID
	From        cluster.NodeID
	FromAddress string
}

func cellStatusRequestToRecord(m CellStatusRequest) *cellStatusRequestRecord {
	return &cellStatusRequestRecord{Zone: m.Zone, From: m.From, FromAddress: m.FromAddress}
}

func (r *cellStatusRequestRecord) toMessage() Message {
	return CellStatusRequest{Zone: r.Zone, From: r.From, FromAddress: r.FromAddress}
}

type zoneReportRecord struct {
	Zone              cluster.ZoneID
	Token             int64
	AllotmentRevision int64
	Models            []ZoneModelReport
	Machines          int
	FreeBytes         int64
	Pools             []PoolReport
}

func zoneReportToRecord(m ZoneReport) *zoneReportRecord {
	return &zoneReportRecord{
		Zone: m.Zone, Token: int64(m.Token), AllotmentRevision: m.AllotmentRevision,
		Models: m.Models, Machines: m.Machines, FreeBytes: m.FreeBytes, Pools: m.Pools,
	}
}

func (r *zoneReportRecord) toMessage() Message {
	return ZoneReport{
		Zone: r.Zone, Token: cluster.FencingToken(r.Token), AllotmentRevision: r.AllotmentRevision,
		Models: r.Models, Machines: r.Machines, FreeBytes: r.FreeBytes, Pools: mapSlice(r.Pools, func(p PoolReport) PoolReport { return p }),
	}
}

// mapSlice returns the results of transform for items. For an empty slice it returns nil, so that a
// decoded message does not depend on whether a slice was nil or empty when it was sent.
func mapSlice[From, To any](items []From, transform func(From) To) []To {
	if len(items) == 0 {
		return nil
	}
	converted := make([]To, 0, len(items))
	for _, item := range items {
		converted = append(converted, transform(item))
	}
	return converted
}

type storeChangesRecord StoreChanges

func (r *storeChangesRecord) toMessage() Message {
	m := StoreChanges(*r)
	m.Changes = mapSlice(m.Changes, func(c StoreChange) StoreChange { return c })
	return m
}

type storeSnapshotRequestRecord StoreSnapshotRequest

func (r *storeSnapshotRequestRecord) toMessage() Message { return StoreSnapshotRequest(*r) }

type storeSnapshotRecord StoreSnapshot

func (r *storeSnapshotRecord) toMessage() Message { return StoreSnapshot(*r) }

type storeChangesRequestRecord StoreChangesRequest

func (r *storeChangesRequestRecord) toMessage() Message { return StoreChangesRequest(*r) }
