package keyed

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/wire"
)

// Limits of a handover.
const (
	// handoverRecordsPerMessage bounds the number of records in one message.
	handoverRecordsPerMessage = 1000
	// handoverAttempts bounds how often one message is sent.
	handoverAttempts = 3
)

// Handover transfers this node's records of keys to a successor, which answers for this
// node from then on. This node refuses all further claims. Handover is the last step
// before a planned stop. An error means that no node took over all records before ctx
// ended; the other nodes then treat the stop as a loss of this node.
func (r *Runner) Handover(ctx context.Context) error {
	r.mutex.Lock()
	successors := r.table.Heirs()
	handover := r.table.Leave(time.Now())
	r.mutex.Unlock()
	for _, successor := range successors {
		if r.transferTo(ctx, successor, handover) {
			r.announceSuccessor(successor)
			return nil
		}
	}
	if len(successors) == 0 {
		return nil
	}
	return eris.Errorf("none of %v took over %d idempotency keys", successors, len(handover.Records))
}

// transferTo sends the handover to one node in parts. It reports whether that node took
// over all of them.
func (r *Runner) transferTo(ctx context.Context, successor cluster.NodeID, handover idempotency.Handover) bool {
	records := handover.Records
	for first := true; first || len(records) > 0; first = false {
		part := handover
		part.Records = records[:min(handoverRecordsPerMessage, len(records))]
		records = records[len(part.Records):]
		if !first {
			part.Memberships = nil
		}
		if !r.transferPart(ctx, successor, part) {
			return false
		}
	}
	return true
}

func (r *Runner) transferPart(ctx context.Context, successor cluster.NodeID, part idempotency.Handover) bool {
	for range handoverAttempts {
		received, answered := r.call(ctx, successor, r.askTimeout, func(number uint64) wire.Message {
			return handoverMessage(part, r.peers.Self().PeerAddress, number)
		})
		if answer, ok := received.(wire.KeyHandoverAnswer); answered && ok {
			return answer.Taken
		}
	}
	return false
}

// announceSuccessor tells all nodes of the region, the successor first, which node answers
// for this one.
func (r *Runner) announceSuccessor(successor cluster.NodeID) {
	message := wire.KeyHeir{From: r.peers.Self().ID, Heir: successor}
	if address, known := r.address(successor); known {
		r.mutex.Lock()
		r.successorAddress = address
		r.mutex.Unlock()
		r.peers.Send(address, message)
	}
	members, _ := r.peers.RegionMembers()
	for _, member := range members {
		if member.ID != successor {
			r.peers.Send(member.PeerAddress, message)
		}
	}
}

// handleHandover takes over a part of another node's records.
func (r *Runner) handleHandover(message wire.KeyHandover) {
	r.mutex.Lock()
	taken := r.table.Inherit(time.Now(), handoverFrom(message))
	r.mutex.Unlock()
	r.peers.Send(message.FromAddress, wire.KeyHandoverAnswer{From: r.peers.Self().ID, Number: message.Number, Taken: taken})
}

// handleOutcome records an outcome. If this node has handed over its records, it also
// forwards the message to its successor.
func (r *Runner) handleOutcome(message wire.KeyOutcome) {
	key := idempotency.Key{TokenPath: message.TokenPath, Key: message.Key}
	r.mutex.Lock()
	r.table.Finish(time.Now(), key, outcomeFrom(message.Outcome))
	successor := r.successorAddress
	r.mutex.Unlock()
	if successor != "" {
		r.peers.Send(successor, message)
	}
}

func handoverMessage(part idempotency.Handover, address string, number uint64) wire.KeyHandover {
	message := wire.KeyHandover{
		From: part.Left, FromAddress: address, Number: number, Round: part.Round, LostUntil: part.LostUntil.UnixNano(),
	}
	for _, membership := range part.Memberships {
		sent := wire.KeyMembership{Until: membership.Until.UnixNano()}
		for _, member := range membership.Members {
			sent.Members = append(sent.Members, wire.KeyMember(member))
		}
		message.Memberships = append(message.Memberships, sent)
	}
	for _, record := range part.Records {
		message.Records = append(message.Records, wire.KeyRecord{
			TokenPath: record.Claim.Key.TokenPath, Key: record.Claim.Key.Key, Fingerprint: record.Claim.Fingerprint,
			Request: record.Claim.Request, Claimant: record.Claim.From, First: record.First, Round: record.Round,
			Outcome: outcomeRecord(record.Outcome), Expires: record.Expires.UnixNano(),
			Promised: pastMessage(record.Promised), Highest: record.Highest, HighestRound: record.HighestRound,
		})
	}
	return message
}

func handoverFrom(message wire.KeyHandover) idempotency.Handover {
	part := idempotency.Handover{Left: message.From, Round: message.Round, LostUntil: time.Unix(0, message.LostUntil)}
	for _, sent := range message.Memberships {
		membership := idempotency.Membership{Until: time.Unix(0, sent.Until)}
		for _, member := range sent.Members {
			membership.Members = append(membership.Members, idempotency.Member(member))
		}
		part.Memberships = append(part.Memberships, membership)
	}
	for _, sent := range message.Records {
		part.Records = append(part.Records, idempotency.Record{
			Claim: idempotency.Claim{
				Key:         idempotency.Key{TokenPath: sent.TokenPath, Key: sent.Key},
				Fingerprint: sent.Fingerprint, Request: sent.Request, From: sent.Claimant,
			},
			First: sent.First, Round: sent.Round, Outcome: outcomeFrom(sent.Outcome), Expires: time.Unix(0, sent.Expires),
			Promised: pastFrom(sent.Promised), Highest: sent.Highest, HighestRound: sent.HighestRound,
		})
	}
	return part
}
