package wire

import "github.com/valveslip/valveslip/cluster"

// KeyHandover transfers a part of a stopping node's key records to its successor.
type KeyHandover struct {
	From        cluster.NodeID
	FromAddress string
	// Number identifies the part in the answer.
	Number uint64
	// Round is the highest round that the node has seen.
	Round uint64
	// LostUntil, in Unix nanoseconds, is the time until which the node's records may be
	// incomplete.
	LostUntil   int64
	Memberships []KeyMembership
	Records     []KeyRecord
}

// KeyMembership is a set of nodes that shared the keys until a time.
type KeyMembership struct {
	// Until is the end of the membership in Unix nanoseconds.
	Until   int64
	Members []KeyMember
}

// KeyMember is a node that shares the keys.
type KeyMember struct {
	ID   cluster.NodeID
	Zone cluster.ZoneID
}

// KeyRecord is a stopping node's record of one key.
type KeyRecord struct {
	TokenPath, Key string
	// Fingerprint, Request and Claimant are those of the claim, if one is known.
	Fingerprint uint64
	Request     cluster.RequestID
	Claimant    cluster.NodeID
	// First is the first owner for which the claim was recorded, Round the round of its
	// question.
	First   cluster.NodeID
	Round   uint64
	Outcome KeyOutcomeRecord
	// Expires is the end of the record in Unix nanoseconds.
	Expires int64
	// Promised are the sets of owners in the questions that the node answered with the
	// statement that it knew no claim. Highest and HighestRound are the sender and the round
	// of the highest such question.
	Promised     []PastMembership
	Highest      cluster.NodeID
	HighestRound uint64
}

// KeyHandoverAnswer says whether the successor took over a part.
type KeyHandoverAnswer struct {
	From   cluster.NodeID
	Number uint64
	Taken  bool
}

// KeyHeir announces that a stopping node has handed over all its key records.
type KeyHeir struct {
	// From is the stopping node, Heir the successor that answers for it.
	From, Heir cluster.NodeID
}

func (KeyHandover) message()       {}
func (KeyHandoverAnswer) message() {}
func (KeyHeir) message()           {}

type keyRecordRecord struct {
	TokenPath    string
	Key          string
	Fingerprint  int64
	Request      cluster.RequestID
	Claimant     cluster.NodeID
	First        cluster.NodeID
	Round        int64
	Outcome      KeyOutcomeRecord
	Expires      int64
	Promised     []PastMembership
	Highest      cluster.NodeID
	HighestRound int64
}

type keyHandoverRecord struct {
	From        cluster.NodeID
	FromAddress string
	Number      int64
	Round       int64
	LostUntil   int64
	Memberships []KeyMembership
	Records     []keyRecordRecord
}

func keyHandoverToRecord(m KeyHandover) *keyHandoverRecord {
	rec := &keyHandoverRecord{
		From: m.From, FromAddress: m.FromAddress, Number: int64(m.Number), Round: int64(m.Round),
		LostUntil: m.LostUntil, Memberships: m.Memberships,
	}
	for _, r := range m.Records {
		rec.Records = append(rec.Records, keyRecordRecord{
			TokenPath: r.TokenPath, Key: r.Key, Fingerprint: int64(r.Fingerprint), Request: r.Request, Claimant: r.Claimant,
			First: r.First, Round: int64(r.Round), Outcome: r.Outcome, Expires: r.Expires,
			Promised: r.Promised, Highest: r.Highest, HighestRound: int64(r.HighestRound),
		})
	}
	return rec
}

func (r *keyHandoverRecord) toMessage() Message {
	m := KeyHandover{
		From: r.From, FromAddress: r.FromAddress, Number: uint64(r.Number), Round: uint64(r.Round),
		LostUntil: r.LostUntil, Memberships: r.Memberships,
	}
	for _, rec := range r.Records {
		m.Records = append(m.Records, KeyRecord{
			TokenPath: rec.TokenPath, Key: rec.Key, Fingerprint: uint64(rec.Fingerprint), Request: rec.Request, Claimant: rec.Claimant,
			First: rec.First, Round: uint64(rec.Round), Outcome: rec.Outcome, Expires: rec.Expires,
			Promised: rec.Promised, Highest: rec.Highest, HighestRound: uint64(rec.HighestRound),
		})
	}
	return m
}

type keyHandoverAnswerRecord struct {
	From   cluster.NodeID
	Number int64
	Taken  bool
}

func (r *keyHandoverAnswerRecord) toMessage() Message {
	return KeyHandoverAnswer{From: r.From, Number: uint64(r.Number), Taken: r.Taken}
}

type keyHeirRecord KeyHeir

func (r *keyHeirRecord) toMessage() Message { return KeyHeir(*r) }
