package lending

import (
	"math"
	"slices"
	"time"
)

// rankCount is the number of ranks of requests; 0 is the most urgent.
const rankCount = 10

const (
	// rankWeightRatio is the ratio of the shares of neighbouring ranks when a limit does not
	// suffice. With 1, a rank is served as often as a less urgent rank with requests of the same
	// size; strict priority would leave nothing to the last rank if an urgent one alone uses the
	// limit.
	rankWeightRatio = 1.25
	// sizeFactor is the ratio between the amounts at the bounds of a class's size.
	sizeFactor = 4
	// maxClasses bounds the classes of a tenant; the least recently requested one is evicted.
	maxClasses = 16
	// activeWindow is how long a class counts as active after a request: long enough for a class
	// with one request a second to get its turn.
	activeWindow = 2 * time.Second
	// savingHorizon is the time whose expected demand is saved as room for a class that is behind,
	// so that the requests of the class that are about to arrive find room.
	savingHorizon = 150 * time.Millisecond
	// maxLagTime bounds, in time of the limit, how far a class may be behind the others: a class with
	// little past demand may catch up by that much at once.
	maxLagTime = time.Second
)

// classID identifies a class of requests by rank and by size, the logarithm of the amount to the
// base sizeFactor.
type classID struct{ rank, size int }

// maxSize is the largest size; it includes all amounts from sizeFactor to the power of maxSize.
const maxSize = 15

// classOf returns the class of a request.
func classOf(rank int, amount float64) classID {
	return classID{
		rank: min(max(rank, 0), rankCount-1),
		size: min(int(math.Log(max(amount, 1))/math.Log(sizeFactor)), maxSize),
	}
}

// weight returns the weight of the class's share.
func (id classID) weight() float64 { return math.Pow(rankWeightRatio, float64(-id.rank)) }

// requestClass is the scheduling state of one class of a tenant's requests.
type requestClass struct {
	id classID
	// virtualTime is the sum of the tokens that the class got, divided by its weight.
	virtualTime float64
	// requestedAt is the time of the last request; refusedAt that of the last refusal since a
	// request was served, zero for none.
	requestedAt, refusedAt time.Time
	// lastAmount is the amount of the last request.
	lastAmount float64
	demand     demand
}

// requestedRecently reports whether the class had a request within activeWindow.
func (k *requestClass) requestedRecently(now time.Time) bool {
	return now.Sub(k.requestedAt) < activeWindow
}

// refusedRecently reports whether a request was refused within activeWindow and none served since.
func (k *requestClass) refusedRecently(now time.Time) bool {
	return !k.refusedAt.IsZero() && now.Sub(k.refusedAt) < activeWindow
}

// fairScheduler divides a tenant's limit among its request classes when the limit does not suffice
// for all: start-time fair queueing with the tokens as the length. It queues no requests;
// instead, room is saved for the next request of a class that is behind.
type fairScheduler struct{ classes []*requestClass }

// recordRequest records a request and returns its class. A class that becomes active again starts
// no further behind than the active classes.
func (l *fairScheduler) recordRequest(now time.Time, rank int, amount, rate float64) *requestClass {
	id := classOf(rank, amount)
	index := slices.IndexFunc(l.classes, func(k *requestClass) bool { return k.id == id })
	if index < 0 {
		index = l.add(id)
	}
	k := l.classes[index]
	least, most := l.virtualTimeRange(now, k)
	if !k.requestedRecently(now) {
		k.virtualTime = max(k.virtualTime, least)
	}
	k.virtualTime = max(k.virtualTime, most-maxLagTime.Seconds()*rate)
	k.requestedAt, k.lastAmount = now, amount
	k.demand.advance(now)
	k.demand.add(amount)
	return k
}

// add adds a class and returns its index; if there are maxClasses, it replaces the least recently
// requested one.
func (l *fairScheduler) add(id classID) int {
	added := &requestClass{id: id}
	if len(l.classes) < maxClasses {
		l.classes = append(l.classes, added)
		return len(l.classes) - 1
	}
	oldest := 0
	for i, k := range l.classes {
		if k.requestedAt.Before(l.classes[oldest].requestedAt) {
			oldest = i
		}
	}
	l.classes[oldest] = added
	return oldest
}

// virtualTimeRange returns the least and the greatest virtual time of the other active classes.
func (l *fairScheduler) virtualTimeRange(now time.Time, except *requestClass) (least, most float64) {
	found := false
	for _, k := range l.classes {
		if k == except || !k.requestedRecently(now) {
			continue
		}
		if !found {
			least, most, found = k.virtualTime, k.virtualTime, true
		}
		least, most = min(least, k.virtualTime), max(most, k.virtualTime)
	}
	return least, most
}

// savedRoom returns the amount that is kept for active classes behind the given class: one request
// of each, or more if the class is further behind and its demand within savingHorizon is larger.
func (l *fairScheduler) savedRoom(now time.Time, reference *requestClass) float64 {
	sum := 0.0
	for _, k := range l.classes {
		if k == reference || !k.requestedRecently(now) || k.virtualTime >= reference.virtualTime {
			continue
		}
		behind := (reference.virtualTime - k.virtualTime) * k.id.weight()
		sum += max(min(k.demand.rate*savingHorizon.Seconds(), behind), k.lastAmount)
	}
	return sum
}

// furthestBehind returns the recently refused class with the least virtual time, nil for none.
func (l *fairScheduler) furthestBehind(now time.Time) *requestClass {
	var first *requestClass
	for _, k := range l.classes {
		if k.refusedRecently(now) && (first == nil || k.virtualTime < first.virtualTime) {
			first = k
		}
	}
	return first
}

// recordServed adds a granted amount to the class's virtual time.
func (k *requestClass) recordServed(amount float64) {
	k.virtualTime += amount / k.id.weight()
	k.refusedAt = time.Time{}
}

// recordRefusal records that a request was refused.
func (k *requestClass) recordRefusal(now time.Time) { k.refusedAt = now }
