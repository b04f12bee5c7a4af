package wire

import (
	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/poison"
)

// PoisonReport tells what a node knows of requests that were at machines when they ended.
type PoisonReport struct {
	From cluster.NodeID
	// FromAddress is where what the receiver knows besides goes.
	FromAddress string
	Records     []poison.Record
}

func (PoisonReport) message() {}

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
	return &poisonReportRecord{From: m.From, FromAddress: m.FromAddress, Records: convert(m.Records, func(r poison.Record) poisonRecord {
		return poisonRecord{Content: r.Content[:], Ends: r.Ends, Cleared: r.Cleared}
	})}
}

// decoded leaves a fingerprint of another length zero, which says nothing.
func (r *poisonReportRecord) decoded() Message {
	return PoisonReport{From: r.From, FromAddress: r.FromAddress, Records: convert(r.Records, func(p poisonRecord) poison.Record {
		record := poison.Record{Ends: sameMachines(p.Ends), Cleared: sameMachines(p.Cleared)}
		if len(p.Content) == poison.FingerprintBytes {
			record.Content = poison.Fingerprint(p.Content)
		}
		return record
	})}
}

// sameMachines returns nil for an empty list.
func sameMachines(ids []cluster.MachineID) []cluster.MachineID {
	return convert(ids, func(id cluster.MachineID) cluster.MachineID { return id })
}
