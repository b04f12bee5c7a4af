package wire

import (
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
)

// PoisonReport reports the requests that were running on machines when these ended, which may be
// poison requests.
type PoisonReport struct {
	From cluster.NodeID
	// FromAddress is the peer address to which the receiver sends records that the sender
	// lacks.
	FromAddress string
	Records     []RequestEnds
}

// RequestEnds is the record of one request, as poison.Record is. Requests that share a part have
// PartReport.
type RequestEnds struct {
	Content       poison.Fingerprint
	Ends, Cleared []cluster.MachineID
}

// PartReport reports, as PoisonReport does for whole requests, the parts of prompts that requests had which
// were running on machines when these ended.
type PartReport struct {
	From        cluster.NodeID
	FromAddress string
	Records     []poison.Record
}

func (PoisonReport) message() {}
func (PartReport) message()   {}

type poisonRecord struct {
	Content       []byte
	Ends, Cleared []cluster.MachineID
}

type poisonReportRecord struct {
	From        cluster.NodeID
	FromAddress string
	Records     []poisonRecord
}

func poisonReportToRecord(m PoisonReport) *poisonReportRecord {
	return &poisonReportRecord{From: m.From, FromAddress: m.FromAddress, Records: mapSlice(m.Records, func(r RequestEnds) poisonRecord {
		return poisonRecord{Content: r.Content[:], Ends: r.Ends, Cleared: r.Cleared}
	})}
}

// toMessage leaves a record's fingerprint zero, which means unknown, if its length is wrong.
func (r *poisonReportRecord) toMessage() Message {
	return PoisonReport{From: r.From, FromAddress: r.FromAddress, Records: mapSlice(r.Records, func(p poisonRecord) RequestEnds {
		record := RequestEnds{Ends: copyMachines(p.Ends), Cleared: copyMachines(p.Cleared)}
		if len(p.Content) == poison.FingerprintBytes {
			record.Content = poison.Fingerprint(p.Content)
		}
		return record
	})}
}

type partRecord struct {
	Content       []byte
	Ends, Cleared []cluster.MachineID
	Requests      []int64
}

type partReportRecord struct {
	From        cluster.NodeID
	FromAddress string
	Records     []partRecord
}

func partReportToRecord(m PartReport) *partReportRecord {
	return &partReportRecord{From: m.From, FromAddress: m.FromAddress, Records: mapSlice(m.Records, func(r poison.Record) partRecord {
		return partRecord{Content: r.Content[:], Ends: r.Ends, Cleared: r.Cleared, Requests: mapSlice(r.Requests, func(digest uint64) int64 { return int64(digest) })}
	})}
}

// toMessage leaves a record's fingerprint zero, which means unknown, if its length is wrong.
func (r *partReportRecord) toMessage() Message {
	return PartReport{From: r.From, FromAddress: r.FromAddress, Records: mapSlice(r.Records, func(p partRecord) poison.Record {
		record := poison.Record{Ends: copyMachines(p.Ends), Cleared: copyMachines(p.Cleared), Requests: mapSlice(p.Requests, func(digest int64) uint64 { return uint64(digest) })}
		if len(p.Content) == poison.FingerprintBytes {
			record.Content = poison.Fingerprint(p.Content)
		}
		return record
	})}
}

// copyMachines returns a copy of ids, nil if ids is empty.
func copyMachines(ids []cluster.MachineID) []cluster.MachineID {
	return mapSlice(ids, func(id cluster.MachineID) cluster.MachineID { return id })
}
