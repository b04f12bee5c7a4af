package lending

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// floodResult is the outcome of one simulated flood under one policy.
type floodResult struct {
	asked, served, returned []float64
	// Callers that returned with and without a reservation, and those of them that were refused
	// again.
	reservedReturns, reservedRefused, unreservedReturns, unreservedRefused int
	// emptiestWindow is the least use of a window within the flood, as a share of its grant;
	// fullestWindow the greatest use of any window, as a share of its bound.
	emptiestWindow, fullestWindow float64
	value                         float64
	uses                          []tokenUse
}

// simulateFlood runs the generated arrivals against one policy. A refused caller returns once, if
// the delay that it was told is acceptable to it.
func simulateFlood(w lendingPolicy, seed uint64, multipliers []float64) *floodResult {
	r := &floodResult{
		asked: make([]float64, len(floodClasses)), served: make([]float64, len(floodClasses)), returned: make([]float64, len(floodClasses)),
	}
	random := rand.New(rand.NewPCG(seed, 12))
	agenda := generateArrivals(seed, multipliers)
	start := time.Unix(1_000_000, 0)
	heap.Init(&agenda)
	for len(agenda) > 0 {
		next := heap.Pop(&agenda).(arrival)
		k := floodClasses[next.class]
		w.advance(next.at)
		inFlood := !next.at.Before(start.Add(floodStart)) && next.at.Before(start.Add(floodEnd))
		if inFlood && !next.returned {
			r.asked[next.class]++
		}
		w.take(next.at, tokenRequest{amount: k.amount, rank: k.rank, fingerprint: next.fingerprint, maxWait: k.maxWait}, func(got decision) {
			r.record(next, k, got, inFlood)
			if !got.granted && !next.returned && got.wait <= k.maxWait {
				late := time.Duration(random.Int64N(int64(maxReturnDelay)))
				heap.Push(&agenda, arrival{at: next.at.Add(got.wait + late), class: next.class, fingerprint: next.fingerprint, returned: true, hasReservation: got.reserved})
			}
		})
	}
	r.measureWindows(start)
	return r
}

// record counts one answer.
func (r *floodResult) record(a arrival, k floodClass, got decision, inFlood bool) {
	switch {
	case a.hasReservation:
		r.reservedReturns++
	case a.returned:
		r.unreservedReturns++
	}
	if !got.granted {
		switch {
		case a.hasReservation:
			r.reservedRefused++
		case a.returned:
			r.unreservedRefused++
		}
		return
	}
	r.uses = append(r.uses, tokenUse{at: a.at, amount: k.amount})
	if !inFlood {
		return
	}
	if a.returned {
		r.returned[a.class]++
		r.value += k.value / 2
		return
	}
	r.served[a.class]++
	r.value += k.value
}

// measureWindows computes emptiestWindow and fullestWindow.
func (r *floodResult) measureWindows(start time.Time) {
	l := floodLimit()
	granted, bound := floodConfig.windowGrant(l), floodConfig.windowGrant(l)+floodConfig.allowance(l)
	r.emptiestWindow = math.Inf(1)
	const step = 50 * time.Millisecond
	for end := start.Add(floodConfig.Window); end.Before(start.Add(floodDuration)); end = end.Add(step) {
		sum, begin := 0.0, end.Add(-floodConfig.Window)
		for _, u := range r.uses {
			if !u.at.Before(begin) && !u.at.After(end) {
				sum += u.amount
			}
		}
		r.fullestWindow = max(r.fullestWindow, sum/bound)
		if !begin.Before(start.Add(floodStart)) && end.Before(start.Add(floodEnd)) {
			r.emptiestWindow = min(r.emptiestWindow, sum/granted)
		}
	}
}

// servedShares returns the served share of each class, including callers that returned.
func (r *floodResult) servedShares() []float64 {
	shares := make([]float64, len(floodClasses))
	for i := range shares {
		shares[i] = (r.served[i] + r.returned[i]) / r.asked[i]
	}
	return shares
}

// problems lists the violations: a window in the flood below 0.98 of its grant, a window above
// its bound, 3 in 100 or more returning callers refused again, or a class below its minimum
// served share, given by least.
func (s *floodSummary) problems(minShares []float64) []string {
	var found []string
	note := func(wrong bool, format string, arguments ...any) {
		if wrong {
			found = append(found, fmt.Sprintf(format, arguments...))
		}
	}
	note(s.emptiestWindow < 0.98, "a window in the flood holds %.3f of its grant", s.emptiestWindow)
	note(s.fullestWindow > 1, "a window holds %.3f of the bound", s.fullestWindow)
	returned, refused := s.reservedReturns+s.unreservedReturns, s.reservedRefused+s.unreservedRefused
	note(refused*100 >= 3*returned && returned > 0, "%d of %d returning callers were refused again", refused, returned)
	for i, k := range floodClasses {
		note(s.servedShares[i] < minShares[i], "class %s: a share of %.2f was served, at least %.2f is required", k.name, s.servedShares[i], minShares[i])
	}
	return found
}

// floodSeeds is the number of seeds that are simulated for each flood.
const floodSeeds = 8

// floodSummary combines several simulations: means of the shares and the value, sums of the
// counts, and extremes of the windows.
type floodSummary struct {
	servedShares                                                           []float64
	value                                                                  float64
	emptiestWindow, fullestWindow                                          float64
	reservedReturns, reservedRefused, unreservedReturns, unreservedRefused int
}

func summarizeFloods(newPolicy func() lendingPolicy, multipliers []float64) *floodSummary {
	s := &floodSummary{servedShares: make([]float64, len(floodClasses)), emptiestWindow: math.Inf(1)}
	for seed := range uint64(floodSeeds) {
		r := simulateFlood(newPolicy(), seed, multipliers)
		for i, o := range r.servedShares() {
			s.servedShares[i] += o / floodSeeds
		}
		s.value += r.value / floodSeeds
		s.reservedReturns, s.reservedRefused = s.reservedReturns+r.reservedReturns, s.reservedRefused+r.reservedRefused
		s.unreservedReturns, s.unreservedRefused = s.unreservedReturns+r.unreservedReturns, s.unreservedRefused+r.unreservedRefused
		s.emptiestWindow, s.fullestWindow = min(s.emptiestWindow, r.emptiestWindow), max(s.fullestWindow, r.fullestWindow)
	}
	return s
}

func (s *floodSummary) String() string {
	var classes []string
	for i, k := range floodClasses {
		classes = append(classes, fmt.Sprintf("%s %.2f", k.name, s.servedShares[i]))
	}
	return fmt.Sprintf("%s; value %.0f; windows from %.3f of the grant to %.3f of the bound; %d returned to reservations, %d of them refused; %d without, %d refused",
		strings.Join(classes, ", "), s.value, s.emptiestWindow, s.fullestWindow, s.reservedReturns, s.reservedRefused, s.unreservedReturns, s.unreservedRefused)
}
