package lending

// A successor knows neither what its predecessor lent nor when the predecessor ended: all nodes may
// have been without power for seconds, or not at all. The part of the allowance that is safe to lend
// once in a window goes to the node that gets the shard's ticket: a key in the store that is created
// only if absent, and that the store removes when its lease expires. If the store is unreachable,
// the successor lends without this credit.

// requestTicket requests the ticket of a shard that this node has started to lend for.
func (s *shard) requestTicket() {
	c := s.core
	if len(s.buckets) == 0 {
		return
	}
	c.lastNumber++
	s.ticketNumber = c.lastNumber
	c.emit(TicketRequested{Shard: s.number, Number: s.ticketNumber, Lasts: c.cfg.TicketDuration()})
}

// applyTicket adds the ticket's credit to the shard's buckets, unless this node's lease has ended
// since the request.
func (c *Core) applyTicket(e TicketGranted) {
	if e.Shard < 0 || e.Shard >= Shards {
		return
	}
	s := c.shards[e.Shard]
	if s.ticketNumber == 0 || s.ticketNumber != e.Number || !s.isLender {
		return
	}
	s.ticketNumber = 0
	for tenant, b := range s.buckets {
		b.addCredit(c.now, c.cfg.bucketParams(c.limits[tenant]), c.cfg.successorCredit(c.limits[tenant], ticketCreditShare))
	}
}
