package lending

import (
	"slices"
	"time"
)

// lendingWay is a way to lend one limit. The answer may come later, or at once.
type lendingWay interface {
	take(now time.Time, w tokenRequest, answer func(decision))
	// pass lets time pass.
	pass(now time.Time)
}

// byKind is the bucket as it lends.
type byKind struct {
	flow   bucketParams
	bucket bucket
}

func (l *byKind) take(now time.Time, w tokenRequest, answer func(decision)) {
	answer(l.bucket.take(now, l.flow, w))
}
func (l *byKind) pass(time.Time) {}

// plain is a bucket without kinds; room says how much a request has to find, beyond itself.
type plain struct {
	flow  bucketParams
	level float64
	at    time.Time
	owed  float64
	room  func(now time.Time, w tokenRequest) float64
}

func (p *plain) take(now time.Time, w tokenRequest, answer func(decision)) { answer(p.decide(now, w)) }
func (p *plain) pass(time.Time)                                            {}

func (p *plain) decide(now time.Time, w tokenRequest) decision {
	passed := max(now.Sub(p.at).Seconds(), 0)
	p.at = now
	p.level = min(p.level+passed*p.flow.rate, p.flow.capacity)
	p.owed = max(p.owed-passed*p.flow.rate, 0)
	missing := min(w.amount+p.room(now, w), p.flow.capacity) - p.level
	if missing <= 0 {
		p.level -= w.amount
		return decision{granted: true}
	}
	wait := time.Duration((missing + p.owed) / p.flow.rate * float64(time.Second))
	p.owed = min(p.owed+w.amount, maxRetryDelay.Seconds()*p.flow.rate)
	return decision{wait: wait + time.Millisecond}
}

// strictRanks leaves room for what more urgent ranks asked for lately.
func strictRanks(f bucketParams) lendingWay {
	var asked [rankCount]demand
	return &plain{flow: f, level: f.capacity, room: func(now time.Time, w tokenRequest) float64 {
		urgent := 0.0
		for rank := range w.rank {
			asked[rank].advance(now)
			urgent += asked[rank].rate
		}
		asked[w.rank].advance(now)
		asked[w.rank].add(w.amount)
		return min(urgent, maxSavedShare*f.capacity)
	}}
}

// sameRoom has all requests find room for the largest: it saves up for the first in line.
func sameRoom(f bucketParams) lendingWay {
	largest := 0.0
	return &plain{flow: f, level: f.capacity, room: func(_ time.Time, w tokenRequest) float64 {
		largest = max(largest, w.amount)
		return largest - w.amount
	}}
}

// queued has requests wait at the lender for at most queueTime, the most urgent first.
type queued struct {
	plain
	waiting []queuedWant
}

type queuedWant struct {
	tokenRequest
	until  time.Time
	answer func(decision)
}

const queueTime = 300 * time.Millisecond

func (q *queued) take(now time.Time, w tokenRequest, answer func(decision)) {
	q.waiting = append(q.waiting, queuedWant{tokenRequest: w, until: now.Add(queueTime), answer: answer})
	slices.SortStableFunc(q.waiting, func(a, b queuedWant) int { return a.rank - b.rank })
	q.pass(now)
}

func (q *queued) pass(now time.Time) {
	for len(q.waiting) > 0 {
		got := q.decide(now, q.waiting[0].tokenRequest)
		if !got.granted {
			break
		}
		q.waiting[0].answer(got)
		q.waiting = q.waiting[1:]
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w queuedWant) bool {
		if now.Before(w.until) {
			return false
		}
		w.answer(decision{wait: 10 * time.Second})
		return true
	})
}

func byKinds() lendingWay {
	f := floodTerms.bucketParams(floodLimit())
	return &byKind{flow: f, bucket: bucket{level: f.capacity}}
}

// forgetsSaved plants a defect: a bucket that does not remember who is behind, nor for whom it
// keeps room.
type forgetsSaved struct{ byKind }

func (l *forgetsSaved) pass(time.Time) {
	l.bucket.reserved.list = nil
	for _, k := range l.bucket.scheduler.classes {
		k.virtualTime = 0
	}
}

// endlessQueue plants a defect: what is kept for callers who did not come is kept on.
type endlessQueue struct{ byKind }

func (l *endlessQueue) pass(now time.Time) {
	for i := range l.bucket.reserved.list {
		if r := &l.bucket.reserved.list[i]; r.due.Before(now) {
			r.due = now
		}
	}
}

// leaving callers never come back.
type leaving struct{ lendingWay }

func (l *leaving) take(now time.Time, w tokenRequest, answer func(decision)) {
	l.lendingWay.take(now, w, func(got decision) {
		if !got.granted {
			got.wait = w.maxWait + 1
		}
		answer(got)
	})
}
