package keyed

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/routing/idempotency"
	"github.com/valveslip/valveslip/wire"
)

// Bounds of a handover.
const (
	// handoverRecords bounds the records of one message.
	handoverRecords = 1000
	// handoverAttempts bounds how often one part is sent.
	handoverAttempts = 3
)

// Handover gives what this node knows of keys to another node, which answers for
// it from then on, and refuses all claims. It is the last thing before a planned
// stop. An error means that no node took everything before ctx ended: the stop
// then counts as a loss.
func (r *Runner) Handover(ctx context.Context) error {
	r.mutex.Lock()
	heirs := r.table.Heirs()
	handover := r.table.Leave(time.Now())
	r.mutex.Unlock()
	for _, heir := range heirs {
		if r.handTo(ctx, heir, handover) {
			r.announce(heir)
			return nil
		}
	}
	if len(heirs) == 0 {
		return nil
	}
	return eris.Errorf("none of %v took over %d idempotency keys", heirs, len(handover.Records))
}

// handTo hands everything to one node in parts. It returns whether all were
// taken.
func (r *Runner) handTo(ctx context.Context, heir cluster.NodeID, handover idempotency.Handover) bool {
	records := handover.Records
	for first := true; first || len(records) > 0; first = false {
		part := handover
		part.Records = records[:min(handoverRecords, len(records))]
		records = records[len(part.Records):]
		if !first {
			part.Memberships = nil
		}
		if !r.handPart(ctx, heir, part) {
			return false
		}
	}
	return true
}

func (r *Runner) handPart(ctx context.Context, heir cluster.NodeID, part idempotency.Handover) bool {
	for range handoverAttempts {
		received, answered := r.call(ctx, heir, r.askTime, func(number uint64) wire.Message {
			return handoverMessage(part, r.peers.Self().PeerAddress, number)
		})
		if answer, ok := received.(wire.KeyHandoverAnswer); answered && ok {
			return answer.Taken
		}
	}
	return false
}

// announce tells the region, the heir first, who answers for this node.
func (r *Runner) announce(heir cluster.NodeID) {
	message := wire.KeyHeir{From: r.peers.Self().ID, Heir: heir}
	if address, known := r.address(heir); known {
		r.mutex.Lock()
		r.heirAddress = address
		r.mutex.Unlock()
		r.peers.Send(address, message)
	}
	neighbours, _ := r.peers.Neighbours()
	for _, neighbour := range neighbours {
		if neighbour.ID != heir {
			r.peers.Send(neighbour.PeerAddress, message)
		}
	}
}

// inherited takes a part of another node's handover.
func (r *Runner) inherited(message wire.KeyHandover) {
	r.mutex.Lock()
	taken := r.table.Inherit(time.Now(), handoverFrom(message))
	r.mutex.Unlock()
	r.peers.Send(message.FromAddress, wire.KeyHandoverAnswer{From: r.peers.Self().ID, Number: message.Number, Taken: taken})
}

// ended takes an outcome, and passes it on if this node has handed over.
func (r *Runner) ended(message wire.KeyOutcome) {
	key := idempotency.Key{TokenPath: message.TokenPath, Key: message.Key}
	r.mutex.Lock()
	r.table.Finish(time.Now(), key, outcomeFrom(message.Outcome))
	heir := r.heirAddress
	r.mutex.Unlock()
	if heir != "" {
		r.peers.Send(heir, message)
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
