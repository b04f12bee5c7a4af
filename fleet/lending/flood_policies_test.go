package lending

import (
	"slices"
	"time"
)

// lendingPolicy decides how one limit is divided. It may answer a request later.
type lendingPolicy interface {
	take(now time.Time, w tokenRequest, answer func(decision))
	// advance tells the policy the current time.
	advance(now time.Time)
}

// classPolicy is the production bucket.
type classPolicy struct {
	params bucketParams
	bucket bucket
}

func (l *classPolicy) take(now time.Time, w tokenRequest, answer func(decision)) {
	answer(l.bucket.take(now, l.params, w))
}
func (l *classPolicy) advance(time.Time) {}

// plainBucket is a bucket without classes; requiredRoom returns what a request has to find beyond
// its own amount.
type plainBucket struct {
	params       bucketParams
	level        float64
	filledAt     time.Time
	owed         float64
	requiredRoom func(now time.Time, w tokenRequest) float64
}

func (p *plainBucket) take(now time.Time, w tokenRequest, answer func(decision)) {
	answer(p.decide(now, w))
}
func (p *plainBucket) advance(time.Time) {}

func (p *plainBucket) decide(now time.Time, w tokenRequest) decision {
	passed := max(now.Sub(p.filledAt).Seconds(), 0)
	p.filledAt = now
	p.level = min(p.level+passed*p.params.rate, p.params.capacity)
	p.owed = max(p.owed-passed*p.params.rate, 0)
	missing := min(w.amount+p.requiredRoom(now, w), p.params.capacity) - p.level
	if missing <= 0 {
		p.level -= w.amount
		return decision{granted: true}
	}
	wait := time.Duration((missing + p.owed) / p.params.rate * float64(time.Second))
	p.owed = min(p.owed+w.amount, maxRetryDelay.Seconds()*p.params.rate)
	return decision{wait: wait + time.Millisecond}
}

// strictRanks leaves room for the recent demand of more urgent ranks.
func strictRanks(f bucketParams) lendingPolicy {
	var asked [rankCount]demand
	return &plainBucket{params: f, level: f.capacity, requiredRoom: func(now time.Time, w tokenRequest) float64 {
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

// roomForLargest makes all requests require the room of the largest request, so that the bucket fills
// up until the largest fits.
func roomForLargest(f bucketParams) lendingPolicy {
	largest := 0.0
	return &plainBucket{params: f, level: f.capacity, requiredRoom: func(_ time.Time, w tokenRequest) float64 {
		largest = max(largest, w.amount)
		return largest - w.amount
	}}
}

// queuedPolicy queues requests at the lender for at most maxQueueTime, the most urgent first.
type queuedPolicy struct {
	plainBucket
	waiting []queuedRequest
}

type queuedRequest struct {
	tokenRequest
	until  time.Time
	answer func(decision)
}

const maxQueueTime = 300 * time.Millisecond

func (q *queuedPolicy) take(now time.Time, w tokenRequest, answer func(decision)) {
	q.waiting = append(q.waiting, queuedRequest{tokenRequest: w, until: now.Add(maxQueueTime), answer: answer})
	slices.SortStableFunc(q.waiting, func(a, b queuedRequest) int { return a.rank - b.rank })
	q.advance(now)
}

func (q *queuedPolicy) advance(now time.Time) {
	for len(q.waiting) > 0 {
		got := q.decide(now, q.waiting[0].tokenRequest)
		if !got.granted {
			break
		}
		q.waiting[0].answer(got)
		q.waiting = q.waiting[1:]
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w queuedRequest) bool {
		if now.Before(w.until) {
			return false
		}
		w.answer(decision{wait: 10 * time.Second})
		return true
	})
}

func newClassPolicy() lendingPolicy {
	f := floodConfig.bucketParams(floodLimit())
	return &classPolicy{params: f, bucket: bucket{level: f.capacity}}
}

// forgettingPolicy plants a defect: the bucket forgets the virtual times of its classes and all
// reservations.
type forgettingPolicy struct{ classPolicy }

func (l *forgettingPolicy) advance(time.Time) {
	l.bucket.reserved.list = nil
	for _, k := range l.bucket.scheduler.classes {
		k.virtualTime = 0
	}
}

// neverExpiringPolicy plants a defect: reservations of callers that did not return never expire.
type neverExpiringPolicy struct{ classPolicy }

func (l *neverExpiringPolicy) advance(now time.Time) {
	for i := range l.bucket.reserved.list {
		if r := &l.bucket.reserved.list[i]; r.due.Before(now) {
			r.due = now
		}
	}
}

// nonReturningCallers simulates callers that never return.
type nonReturningCallers struct{ lendingPolicy }

func (l *nonReturningCallers) take(now time.Time, w tokenRequest, answer func(decision)) {
	l.lendingPolicy.take(now, w, func(got decision) {
		if !got.granted {
			got.wait = w.maxWait + 1
		}
		answer(got)
	})
}
