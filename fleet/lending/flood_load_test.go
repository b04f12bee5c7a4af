package lending

import (
	"math/rand/v2"
	"slices"
	"time"
)

// floodClass is a class of requests of the flooding tenant: its usual rate, the tokens and the
// rank of a request, the value of an answer to the caller, and the longest delay after which the
// caller returns.
type floodClass struct {
	name      string
	perSecond float64
	amount    float64
	rank      int
	value     float64
	maxWait   time.Duration
}

// floodClasses model a deployment whose tenants send short texts, large drafts and bookings. A
// draft in time is worth 3 to 12 bookings.
var floodClasses = []floodClass{
	{name: "text", perSecond: 7, amount: 700, rank: 0, value: 1.8, maxWait: 4900 * time.Millisecond},
	{name: "draft", perSecond: 4.1, amount: 9250, rank: 1, value: 3.3, maxWait: 1600 * time.Millisecond},
	{name: "premium", perSecond: 3.1, amount: 9250, rank: 2, value: 12.2, maxWait: 4300 * time.Millisecond},
	{name: "booking", perSecond: 6.2, amount: 200, rank: 2, value: 1, maxWait: 950 * time.Millisecond},
}

// floods are factors by which the usual rate of each class is multiplied during the flood: all
// classes alike, and short texts alone, which then request four times the limit.
var floods = []struct {
	name        string
	multipliers []float64
}{
	{"all classes at six times their usual rate", []float64{6, 6, 6, 6}},
	{"short texts only", []float64{100, 1, 1, 1}},
}

// Times of the flood, and the parameters of the tenant and its callers. The limit is limitFactor
// times the tenant's usual use.
const (
	floodStart    = 5 * time.Second
	floodEnd      = 25 * time.Second
	floodDuration = 35 * time.Second
	limitFactor   = 1.8
	// maxReturnDelay is how late a caller returns at most after the time that it was told.
	maxReturnDelay = 30 * time.Millisecond
)

var floodConfig = Config{Window: 8 * time.Second, Overrun: 0.1, Slack: 72_000}.WithDefaults()

// floodLimit returns the limit of the flooding tenant.
func floodLimit() Limit {
	rate := 0.0
	for _, k := range floodClasses {
		rate += k.perSecond * k.amount * limitFactor
	}
	return Limit{Rate: rate, Burst: rate}
}

// arrival is the arrival of a request, at its first attempt or when its caller returns.
type arrival struct {
	at          time.Time
	class       int
	fingerprint int64
	returned    bool
	// hasReservation is set if the caller returns to a reservation.
	hasReservation bool
}

// arrivals are a heap ordered by time.
type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// generateArrivals returns the first attempts, which are the same for all policies.
func generateArrivals(seed uint64, multipliers []float64) arrivals {
	random := rand.New(rand.NewPCG(seed, 11))
	start := time.Unix(1_000_000, 0)
	var list arrivals
	for number, k := range floodClasses {
		at := time.Duration(0)
		for at < floodDuration {
			rate := k.perSecond
			if at >= floodStart && at < floodEnd {
				rate *= multipliers[number]
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			list = append(list, arrival{at: start.Add(at), class: number, fingerprint: random.Int64()})
		}
	}
	slices.SortFunc(list, func(a, b arrival) int { return a.at.Compare(b.at) })
	return list
}
