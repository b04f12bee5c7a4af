package lending

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// ask is a question for tokens that has no answer yet.
type ask struct {
	Asked
	began time.Time
	// nextAt is when another node is asked, or the question given up.
	nextAt time.Time
	// to is the node that was asked last, empty while it is known that nobody lends.
	to cluster.NodeID
}

// asked asks for tokens, at this node itself if it lends.
func (c *Core) asked(e Asked) {
	a := &ask{Asked: e, began: c.now}
	c.asks[e.Number] = a
	c.askLender(a)
	if _, waits := c.asks[e.Number]; waits && c.Deaf() {
		c.answer(a, Answered{})
	}
}

// askLender asks who lends, or a voter who that is.
func (c *Core) askLender(a *ask) {
	s := c.shards[shardOf(a.Tenant)]
	if s.lends() {
		lent, known := s.lend(loanID{node: c.cfg.Self.ID, number: a.Number}, a.Tenant, a.want())
		if known {
			c.answer(a, Answered{
				Decided: true, Granted: lent.granted, Wait: lent.wait, Reserved: lent.reserved,
				Standing: s.standing(a.Tenant), AskedAt: c.now, Lender: c.cfg.Self.ID,
			})
			return
		}
	}
	to := s.lender
	if to.id == c.cfg.Self.ID || to.address == "" {
		to = s.nextVoter()
	}
	a.to = to.id
	a.nextAt = earliest(c.now.Add(askPatience), c.askEnd(a))
	c.send(to.address, wire.TokensRequest{
		From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Number: a.Number, Tenant: a.Tenant,
		Amount: a.Amount, Rank: a.Rank, Mark: a.Mark, Heeds: a.Heeds, Again: a.Again,
	})
}

// want is what is asked for.
func (a *ask) want() want {
	return want{amount: a.Amount, rank: a.Rank, mark: a.Mark, heeds: a.Heeds, again: a.Again}
}

// nextVoter is the voter to ask who lends, each time another one.
func (s *shard) nextVoter() lender {
	machines := s.voters.machines
	for range machines {
		machine := machines[s.next%len(machines)]
		s.next++
		if p, known := s.core.peers[machine]; known && machine != s.core.cfg.Self.Machine {
			return lender{id: p.ID, address: p.Address}
		}
	}
	return lender{}
}

// answer ends a question.
func (c *Core) answer(a *ask, e Answered) {
	delete(c.asks, a.Number)
	e.Number, e.Tenant, e.Amount = a.Number, a.Tenant, a.Amount
	c.emit(e)
}

// tickAsks asks another node where one has not answered, and gives up after a while.
func (c *Core) tickAsks() {
	var due []int64
	for number, a := range c.asks {
		if !c.now.Before(a.nextAt) {
			due = append(due, number)
		}
	}
	slices.Sort(due)
	for _, number := range due {
		a := c.asks[number]
		if a.to != "" {
			c.unheard++
		}
		if !c.now.Before(c.askEnd(a)) {
			c.answer(a, Answered{Wait: c.cfg.Lease})
			continue
		}
		// Whoever was asked and has not answered is not asked first again.
		if s := c.shards[shardOf(a.Tenant)]; a.to != "" && s.lender.id == a.to {
			s.lender = lender{}
		}
		c.askLender(a)
	}
}

// tokensRequested answers another node, if this one lends; otherwise it says who does. One
// that asks for nothing wants to know whether it is heard.
func (c *Core) tokensRequested(m *wire.TokensRequest) {
	s := c.shards[shardOf(m.Tenant)]
	if m.Returned {
		s.takeBack(loanID{node: m.From, number: m.Number})
		return
	}
	answer := wire.TokensAnswer{From: c.cfg.Self.ID, Number: m.Number}
	if m.Amount <= 0 {
		answer.Lends = s.lends()
	} else if s.lends() {
		s.answerRequest(m, &answer)
	} else if s.promised.to != "" && s.promised.to != m.From && c.now.Before(s.promised.until) {
		answer.Lender, answer.LenderAddress = s.promised.to, s.promised.address
	}
	c.send(m.FromAddress, answer)
}

// answerRequest answers another node that asks for tokens.
func (s *shard) answerRequest(m *wire.TokensRequest, answer *wire.TokensAnswer) {
	asked := want{amount: m.Amount, rank: m.Rank, mark: m.Mark, heeds: m.Heeds, again: m.Again}
	var lent terms
	lent, answer.Lends = s.lend(loanID{node: m.From, number: m.Number}, m.Tenant, asked)
	answer.Granted, answer.Wait, answer.Reserved = lent.granted, lent.wait, lent.reserved
	if answer.Lends && !lent.granted {
		standing := s.standing(m.Tenant)
		answer.Used, answer.FirstRank, answer.FirstAmount = standing.Used, standing.FirstRank, standing.FirstAmount
	}
}

// lend lends tokens, or says when they would be there. It is not known where there is no
// such limit.
func (s *shard) lend(id loanID, tenant string, asked want) (lent terms, known bool) {
	b := s.buckets[tenant]
	if b == nil {
		return terms{}, false
	}
	if s.loans.has(id) {
		// The answer was late or lost, and the node asks again.
		return terms{granted: true}, true
	}
	lent = b.take(s.core.now, s.core.cfg.flow(s.core.limits[tenant]), asked)
	s.core.count(tenant, asked, lent)
	if lent.granted {
		s.loans.add(id, loan{tenant: tenant, amount: asked.amount, at: s.core.now})
	}
	return lent, true
}

// standing is how a tenant stands of which this node lends the tokens.
func (s *shard) standing(tenant string) Standing {
	b := s.buckets[tenant]
	if b == nil {
		return Standing{}
	}
	standing := Standing{Used: b.used.sum, Grants: s.core.cfg.granted(s.core.limits[tenant])}
	if first := b.line.first(s.core.now); first != nil {
		standing.FirstRank, standing.FirstAmount = first.id.rank, first.amount
	}
	return standing
}

// takeBack takes back, once, what this node lent and what was not used.
func (s *shard) takeBack(id loanID) {
	lent, known := s.loans.remove(id)
	b := s.buckets[lent.tenant]
	if known && b != nil && s.lends() {
		out := s.loans.outSince(lent.tenant, s.core.now.Add(-s.core.cfg.Lifetime))
		b.giveBack(s.core.now, s.core.cfg.flow(s.core.limits[lent.tenant]), lent.amount, s.core.now.Sub(lent.at), out)
	}
}

// giveBack gives tokens back to whoever lends.
func (c *Core) giveBack(e Returned) {
	s := c.shards[shardOf(e.Tenant)]
	if s.lends() {
		s.takeBack(loanID{node: c.cfg.Self.ID, number: e.Number})
		return
	}
	c.send(s.lender.address, wire.TokensRequest{
		From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Number: e.Number, Tenant: e.Tenant, Returned: true,
	})
}

// tokensAnswered takes an answer. One of a node that does not lend may name who does.
func (c *Core) tokensAnswered(m *wire.TokensAnswer) {
	a := c.asks[m.Number]
	if a == nil || m.From != a.to {
		return
	}
	s := c.shards[shardOf(a.Tenant)]
	if m.Lends {
		s.lender = lender{id: m.From, address: c.peers[c.machines[m.From]].Address}
		c.answer(a, Answered{
			Decided: true, Granted: m.Granted, Wait: m.Wait, Reserved: m.Reserved, AskedAt: a.began, Lender: m.From,
			Standing: Standing{
				Used: m.Used, Grants: c.cfg.granted(c.limits[a.Tenant]), FirstRank: m.FirstRank, FirstAmount: m.FirstAmount,
			},
		})
		return
	}
	s.lender = lender{id: m.Lender, address: m.LenderAddress}
	if m.Lender != "" && m.Lender != c.cfg.Self.ID {
		c.askLender(a)
		return
	}
	s.lender = lender{}
	a.to = ""
	pause := askAgain
	if c.young() {
		pause = youngAskAgain
	}
	a.nextAt = earliest(c.now.Add(pause), c.askEnd(a))
}

// askEnd is when a question is given up. A node that has just started knows by when somebody
// lends if all have: a caller who is sent back before would come back later than that.
func (c *Core) askEnd(a *ask) time.Time {
	end, first := a.began.Add(AskLimit), c.startedAt.Add(c.cfg.Lease+firstLenderMargin)
	if a.Patience <= AskLimit || !first.After(end) {
		return end
	}
	return earliest(first, a.began.Add(a.Patience))
}
