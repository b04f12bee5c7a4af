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
	return &poisonReportRecord{From: m.From, FromAddress: m.FromAddress, Records: mapSlice(m.Records, func(r poison.Record) poisonRecord {
		return poisonRecord{Content: r.Content[:], Ends: r.Ends, Cleared: r.Cleared}
	})}
}

// toMessage leaves a record's fingerprint zero, which means unknown, if its length is wrong.
func (r *poisonReportRecord) toMessage() Message {
	return PoisonReport{From: r.From, FromAddress: r.FromAddress, Records: mapSlice(r.Records, func(p poisonRecord) poison.Record {
		record := poison.Record{Ends: copyMachines(p.Ends), Cleared: copyMachines(p.Cleared)}
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
