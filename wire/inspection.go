package wire

import "github.com/valveslip/valveslip/cluster"

type inspectionRequestRecord struct {
	From        cluster.NodeID
	FromAddress string
	Number      int64
	Subject     string
	Key         string
}

func inspectionRequestToRecord(m InspectionRequest) *inspectionRequestRecord {
	return &inspectionRequestRecord{From: m.From, FromAddress: m.FromAddress, Number: int64(m.Number), Subject: m.Subject, Key: m.Key}
}

func (r *inspectionRequestRecord) toMessage() Message {
	return InspectionRequest{From: r.From, FromAddress: r.FromAddress, Number: uint64(r.Number), Subject: r.Subject, Key: r.Key}
}

type inspectionAnswerRecord struct {
	From   cluster.NodeID
	Number int64
	Found  bool
	Data   []byte
}

func inspectionAnswerToRecord(m InspectionAnswer) *inspectionAnswerRecord {
	return &inspectionAnswerRecord{From: m.From, Number: int64(m.Number), Found: m.Found, Data: m.Data}
}

func (r *inspectionAnswerRecord) toMessage() Message {
	return InspectionAnswer{From: r.From, Number: uint64(r.Number), Found: r.Found, Data: r.Data}
}
