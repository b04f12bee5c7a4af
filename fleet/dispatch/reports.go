package dispatch

import (
	"slices"
	"time"

	"github.com/valveslip/valveslip/routing"
	"github.com/valveslip/valveslip/wire"
)

// requestPlacement asks the dispatcher where to send an attempt. If the dispatcher is this node,
// the answer is emitted at once.
func (c *Core) requestPlacement(e *PlacementRequested) {
	dispatcher, found := c.pickDispatcher()
	if !found {
		c.emit(PlacementAnswered{Number: e.Number})
		return
	}
	if dispatcher.ID == c.cfg.Self.ID {
		answer := c.tracker.place(c.now, attemptKey{dispatcher.ID, e.Number}, &e.Work, e.Candidates)
		answer.From = dispatcher.ID
		c.emit(answeredEvent(&answer))
		return
	}
	c.pendingRequests[e.Number] = &placementRequest{deadline: c.now.Add(answerTimeout), dispatcher: dispatcher.ID}
	c.send(dispatcher, wire.EngineRequest{
		From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Number: e.Number, Work: e.Work, Candidates: e.Candidates,
	})
}

// handleAnswer emits the answer of the dispatcher. An answer after the timeout is dropped and does
// not end the back-off: otherwise each request would wait for a node that always answers late.
func (c *Core) handleAnswer(m *wire.EngineAnswer) {
	a := c.pendingRequests[m.Number]
	if a == nil || a.dispatcher != m.From {
		return
	}
	delete(c.unresponsiveUntil, m.From)
	delete(c.pendingRequests, m.Number)
	c.emit(answeredEvent(m))
}

// answeredEvent converts the answer of a dispatcher to the effect for this node.
func answeredEvent(m *wire.EngineAnswer) PlacementAnswered {
	return PlacementAnswered{
		Number: m.Number, Dispatcher: m.From, Machine: m.Machine, Delay: m.Delay,
		Forecast: routing.Forecast{Dispatcher: m.From, Expected: m.Expected, Backlog: m.Backlog, Read: m.Read, Kept: m.Kept, Speed: m.Speed, Background: m.Background, Fetch: m.Fetch},
	}
}

// expireRequests emits an empty answer for each placement request that timed out, and starts the
// back-off of the dispatcher that did not answer.
func (c *Core) expireRequests() {
	if len(c.pendingRequests) == 0 {
		return
	}
	var expired []int64
	for number, a := range c.pendingRequests {
		if !c.now.Before(a.deadline) {
			expired = append(expired, number)
		}
	}
	slices.Sort(expired)
	for _, number := range expired {
		c.unresponsiveUntil[c.pendingRequests[number].dispatcher] = c.now.Add(unresponsiveBackoff)
		delete(c.pendingRequests, number)
		c.emit(PlacementAnswered{Number: number})
	}
}

// recordSend records an attempt that is being sent to a machine, and reports it to the dispatcher
// if the dispatcher could not expect it.
func (c *Core) recordSend(e *AttemptSent) {
	delete(c.pendingRequests, e.Number)
	c.ownAttempts[e.Number] = &ownAttempt{machine: e.Machine, sentAt: c.now, firstEventSeen: e.Resumed, work: e.Work}
	if c.fullReportDue.IsZero() {
		c.fullReportDue = c.now.Add(fullReportInterval)
	}
	if e.Machine != e.Answered || e.Resumed {
		c.reportSend(e)
	}
}

// reportSend reports an attempt that goes to another machine than the dispatcher answered, or that
// resumes an answer which has already begun.
func (c *Core) reportSend(e *AttemptSent) {
	to, known := c.rankedPeer(c.dispatcher)
	if !known {
		return
	}
	report := wire.EngineNews{From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Attempts: []wire.EngineAttempt{c.attemptReport(e.Number)}}
	if to.ID == c.cfg.Self.ID {
		c.tracker.applyReport(c.now, &report)
		return
	}
	c.send(to, report)
}

// attemptReport returns the description of an attempt for the dispatcher.
func (c *Core) attemptReport(number int64) wire.EngineAttempt {
	a := c.ownAttempts[number]
	return wire.EngineAttempt{Number: number, Machine: a.machine, Sent: c.now.Sub(a.sentAt), Began: a.firstEventSeen, Work: a.work}
}

// recordFirstEvent records that the answer of an attempt has begun and queues the time to its
// first event for the dispatcher.
func (c *Core) recordFirstEvent(number int64) {
	a := c.ownAttempts[number]
	if a == nil || a.firstEventSeen {
		return
	}
	a.firstEventSeen = true
	c.queueProgress(wire.EngineProgress{Number: number, First: max(c.now.Sub(a.sentAt), time.Nanosecond)})
}

// recordEnd records that an attempt has ended or will not be sent.
func (c *Core) recordEnd(e *AttemptEnded) {
	delete(c.pendingRequests, e.Number)
	delete(c.ownAttempts, e.Number)
	if len(c.ownAttempts) == 0 {
		c.fullReportDue = time.Time{}
	}
	c.queueProgress(wire.EngineProgress{Number: e.Number, Ended: true, Read: e.Read})
}

// queueProgress applies progress at once if this node is the dispatcher, and otherwise batches it
// for progressDelay.
func (c *Core) queueProgress(p wire.EngineProgress) {
	if c.dispatcher == c.cfg.Self.ID {
		c.tracker.applyReport(c.now, &wire.EngineNews{From: c.cfg.Self.ID, Progress: []wire.EngineProgress{p}})
		return
	}
	c.progress = append(c.progress, p)
	if c.progressDue.IsZero() {
		c.progressDue = c.now.Add(progressDelay)
	}
}

// sendDueReports sends the batched progress and the full report when they are due.
func (c *Core) sendDueReports() {
	if !c.progressDue.IsZero() && !c.now.Before(c.progressDue) {
		c.progressDue = time.Time{}
		if to, known := c.rankedPeer(c.dispatcher); known && to.ID != c.cfg.Self.ID {
			c.send(to, wire.EngineNews{From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Progress: c.progress})
		}
		c.progress = nil
	}
	if !c.fullReportDue.IsZero() && !c.now.Before(c.fullReportDue) {
		c.fullReportDue = c.now.Add(fullReportInterval)
		if to, known := c.rankedPeer(c.dispatcher); known {
			c.sendFullReport(to)
		}
	}
}

// sendFullReport sends all attempts of this node that have not ended to the given node.
func (c *Core) sendFullReport(to Peer) {
	report := wire.EngineNews{From: c.cfg.Self.ID, FromAddress: c.cfg.Self.Address, Full: true}
	numbers := make([]int64, 0, len(c.ownAttempts))
	for number := range c.ownAttempts {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		report.Attempts = append(report.Attempts, c.attemptReport(number))
	}
	if to.ID == c.cfg.Self.ID {
		c.tracker.applyReport(c.now, &report)
		return
	}
	c.send(to, report)
}
