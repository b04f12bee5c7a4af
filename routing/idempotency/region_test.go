package idempotency

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/cluster"
)

// region is a set of tables whose messages all arrive at once.
type region struct {
	now    time.Time
	nodes  []Member
	tables map[cluster.NodeID]*Table
	// questions counts the questions asked.
	questions int
}

// newRegion returns a region of nodes that joined an hour ago.
func newRegion(nodes ...cluster.NodeID) *region {
	r := &region{now: start, nodes: named(nodes...), tables: make(map[cluster.NodeID]*Table)}
	for _, node := range nodes {
		r.tables[node] = New(node, Config{})
		r.tables[node].SetMembers(start.Add(-time.Hour), r.nodes)
	}
	return r
}

// kill ends a node without a handover and updates the views of the others.
func (r *region) kill(dead cluster.NodeID) {
	r.nodes = slices.DeleteFunc(slices.Clone(r.nodes), func(m Member) bool { return m.ID == dead })
	delete(r.tables, dead)
	r.updateViews()
}

// stop ends a node after a complete handover.
func (r *region) stop(left cluster.NodeID) {
	heir := r.tables[left].Heirs()[0]
	if r.tables[heir].Inherit(r.now, r.tables[left].Leave(r.now)) {
		for _, table := range r.tables {
			table.RecordHeir(r.now, left, heir)
		}
	}
	r.kill(left)
}

// join starts a node and updates all views.
func (r *region) join(node Member) {
	r.nodes = append(slices.Clone(r.nodes), node)
	r.tables[node.ID] = New(node.ID, Config{})
	r.updateViews()
}

// updateViews gives all nodes the current membership.
func (r *region) updateViews() {
	for _, table := range r.tables {
		table.SetMembers(r.now, r.nodes)
	}
}

// nodeOtherThan returns the first node that is not the given one.
func (r *region) nodeOtherThan(not cluster.NodeID) cluster.NodeID {
	if r.nodes[0].ID != not {
		return r.nodes[0].ID
	}
	return r.nodes[1].ID
}

// claim sends a claim to its first owner and delivers all questions until the final decision.
func (r *region) claim(claim Claim) Decision {
	decision := Decision{Kind: DecisionForward, Owner: r.nodes[0].ID}
	for decision.Kind == DecisionForward {
		at := decision.Owner
		decision = r.tables[at].Begin(r.now, claim)
		for decision.Kind == DecisionAsk {
			r.questions++
			answer := Answer{Kind: AnswerNone, From: decision.Ask}
			if table := r.tables[decision.Ask]; table != nil {
				answer = table.Answer(r.now, decision.Question)
				answer.To = decision.Question.Round
			}
			decision = r.tables[at].ProcessAnswer(r.now, claim.Key, claim.Request, answer)
		}
	}
	return decision
}
