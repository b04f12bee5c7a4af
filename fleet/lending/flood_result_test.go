package lending

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// floodResult is what became of a flood by one way.
type floodResult struct {
	asked, served, returned []float64
	// came back as told, and were refused again; cameUntold without a reservation.
	came, again, untold, untoldAgain int
	// least and most of the windows within the flood, in parts of what a window grants, and
	// fullest of all, in parts of the rule's bound.
	least, fullest float64
	worth          float64
	uses           []tokenUse
}

// flooded plays recorded arrivals by one way. Callers come back once, if they heed.
func flooded(w lendingWay, seed uint64, times []float64) *floodResult {
	r := &floodResult{
		asked: make([]float64, len(floodKinds)), served: make([]float64, len(floodKinds)), returned: make([]float64, len(floodKinds)),
	}
	random := rand.New(rand.NewPCG(seed, 12))
	agenda := recordedArrivals(seed, times)
	start := time.Unix(1_000_000, 0)
	heap.Init(&agenda)
	for len(agenda) > 0 {
		next := heap.Pop(&agenda).(arrival)
		k := floodKinds[next.kind]
		w.pass(next.at)
		inFlood := !next.at.Before(start.Add(floodBegins)) && next.at.Before(start.Add(floodEnds))
		if inFlood && !next.back {
			r.asked[next.kind]++
		}
		w.take(next.at, tokenRequest{amount: k.amount, rank: k.rank, fingerprint: next.mark, maxWait: k.heeds}, func(got decision) {
			r.note(next, k, got, inFlood)
			if !got.granted && !next.back && got.wait <= k.heeds {
				late := time.Duration(random.Int64N(int64(comesBack)))
				heap.Push(&agenda, arrival{at: next.at.Add(got.wait + late), kind: next.kind, mark: next.mark, back: true, told: got.reserved})
			}
		})
	}
	r.windows(start)
	return r
}

// note counts one answer.
func (r *floodResult) note(a arrival, k floodKind, got decision, inFlood bool) {
	switch {
	case a.told:
		r.came++
	case a.back:
		r.untold++
	}
	if !got.granted {
		switch {
		case a.told:
			r.again++
		case a.back:
			r.untoldAgain++
		}
		return
	}
	r.uses = append(r.uses, tokenUse{at: a.at, amount: k.amount})
	if !inFlood {
		return
	}
	if a.back {
		r.returned[a.kind]++
		r.worth += k.worth / 2
		return
	}
	r.served[a.kind]++
	r.worth += k.worth
}

// windows compares what was used with what a window grants, and with the rule's bound.
func (r *floodResult) windows(start time.Time) {
	l := floodLimit()
	granted, bound := floodTerms.windowGrant(l), floodTerms.windowGrant(l)+floodTerms.allowance(l)
	r.least = math.Inf(1)
	const step = 50 * time.Millisecond
	for end := start.Add(floodTerms.Window); end.Before(start.Add(floodLasts)); end = end.Add(step) {
		sum, begin := 0.0, end.Add(-floodTerms.Window)
		for _, u := range r.uses {
			if !u.at.Before(begin) && !u.at.After(end) {
				sum += u.amount
			}
		}
		r.fullest = max(r.fullest, sum/bound)
		if !begin.Before(start.Add(floodBegins)) && end.Before(start.Add(floodEnds)) {
			r.least = min(r.least, sum/granted)
		}
	}
}

// odds lists what share of each kind was served, those that came back included.
func (r *floodResult) odds() []float64 {
	odds := make([]float64, len(floodKinds))
	for i := range odds {
		odds[i] = (r.served[i] + r.returned[i]) / r.asked[i]
	}
	return odds
}

// problems lists what a flooded tenant was promised and did not get: all of its window, never
// more than the rule allows; room when it was told that there would be; and its share for each
// kind. least are the least odds of the kinds.
func (s *floodSum) problems(least []float64) []string {
	var found []string
	note := func(wrong bool, format string, arguments ...any) {
		if wrong {
			found = append(found, fmt.Sprintf(format, arguments...))
		}
	}
	note(s.least < 0.98, "a window in the flood holds %.3f of its grant", s.least)
	note(s.fullest > 1, "a window holds %.3f of the bound", s.fullest)
	came, refused := s.came+s.untold, s.again+s.untoldAgain
	note(refused*100 >= 3*came && came > 0, "%d of %d who came back as told are refused again", refused, came)
	for i, k := range floodKinds {
		note(s.odds[i] < least[i], "of %s %.2f are served, at least %.2f are due", k.name, s.odds[i], least[i])
	}
	return found
}

// floodSeeds are played of each flood.
const floodSeeds = 8

// floodSum is the mean of several plays.
type floodSum struct {
	odds                             []float64
	worth                            float64
	least, fullest                   float64
	came, again, untold, untoldAgain int
}

func sumUp(begin func() lendingWay, times []float64) *floodSum {
	s := &floodSum{odds: make([]float64, len(floodKinds)), least: math.Inf(1)}
	for seed := range uint64(floodSeeds) {
		r := flooded(begin(), seed, times)
		for i, o := range r.odds() {
			s.odds[i] += o / floodSeeds
		}
		s.worth += r.worth / floodSeeds
		s.came, s.again = s.came+r.came, s.again+r.again
		s.untold, s.untoldAgain = s.untold+r.untold, s.untoldAgain+r.untoldAgain
		s.least, s.fullest = min(s.least, r.least), max(s.fullest, r.fullest)
	}
	return s
}

func (s *floodSum) String() string {
	var kinds []string
	for i, k := range floodKinds {
		kinds = append(kinds, fmt.Sprintf("%s %.2f", k.name, s.odds[i]))
	}
	return fmt.Sprintf("%s; worth %.0f; windows %.3f of their grant to %.3f of the bound; returned %d to reservations, %d of them refused; %d without, %d refused",
		strings.Join(kinds, ", "), s.worth, s.least, s.fullest, s.came, s.again, s.untold, s.untoldAgain)
}
