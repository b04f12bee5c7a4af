package wire

import "github.com/valveslip/valveslip/cluster"

// KeyHandover hands what a node that stops knows of keys to its heir, in parts.
type KeyHandover struct {
	From        cluster.NodeID
	FromAddress string
	// Number pairs the answer with the part.
	Number uint64
	// Round is the highest that the node has seen.
	Round uint64
	// LostUntil, in Unix nanoseconds, is until when the node can vouch for
	// nothing.
	LostUntil   int64
	Memberships []KeyMembership
	Records     []KeyRecord
}

// KeyMembership is a set of nodes that shared the keys until a time.
type KeyMembership struct {
	// Until is in Unix nanoseconds.
	Until   int64
	Members []KeyMember
}

// KeyMember is a node that shares the keys.
type KeyMember struct {
	ID   cluster.NodeID
	Zone cluster.ZoneID
}

// KeyRecord is what a node that stops knows of one key.
type KeyRecord struct {
	TokenPath, Key string
	// Fingerprint, Request and Claimant are those of the claim, if one is known.
	Fingerprint uint64
	Request     cluster.RequestID
	Claimant    cluster.NodeID
	// First owner that the claim was recorded for, and its round.
	First   cluster.NodeID
	Round   uint64
	Outcome KeyOutcomeRecord
	// Expires is in Unix nanoseconds.
	Expires int64
	// Promised are the owners of those to whom the node vouched, Highest and
	// HighestRound the last of them.
	Promised     []PastMembership
	Highest      cluster.NodeID
	HighestRound uint64
}

// KeyHandoverAnswer tells whether the heir took a part.
type KeyHandoverAnswer struct {
	From   cluster.NodeID
	Number uint64
	Taken  bool
}

// KeyHeir tells that a node has handed over whole.
type KeyHeir struct {
	// From is the node that stops, Heir the one that answers in its stead.
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

func (r *keyHandoverRecord) decoded() Message {
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

func (r *keyHandoverAnswerRecord) decoded() Message {
	return KeyHandoverAnswer{From: r.From, Number: uint64(r.Number), Taken: r.Taken}
}

type keyHeirRecord KeyHeir

func (r *keyHeirRecord) decoded() Message { return KeyHeir(*r) }
