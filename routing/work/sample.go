package work

import (
	"cmp"
	"math"
	"slices"
)

// sample is a remembered observation. It holds the inputs of the estimates and no results, so that
// each estimate is computed with the current values of the others.
type sample struct {
	// at is the time of the first event, in nanoseconds since the Unix epoch.
	at int64
	// uncached is the number of tokens to prefill and pairs that of token pairs, in millions.
	uncached, pairs float32
	// ahead is the prefill time queued ahead of the prompt, in ms on the reference engine.
	ahead float32
	// elapsed is the time to the first event, in ms.
	elapsed float32
	// engine and model are those that served the attempt.
	engine *engine
	model  *model
	// duringDeviation is set if the engine was taken to deviate from its baseline speed.
	duringDeviation bool
}

// history holds the last samples, the oldest first.
type history struct {
	samples []sample
}

// add appends a sample and drops the oldest ones beyond the bound.
func (h *history) add(s sample, bound int) {
	if len(h.samples) >= bound {
		h.samples = slices.Delete(h.samples, 0, len(h.samples)-bound+1)
	}
	h.samples = append(h.samples, s)
}

// dropBefore drops the samples older than a time in nanoseconds since the Unix epoch.
func (h *history) dropBefore(at int64) {
	kept := 0
	for kept < len(h.samples) && h.samples[kept].at < at {
		kept++
	}
	h.samples = slices.Delete(h.samples, 0, kept)
}

// estimate is the logarithm of a value that an observation implies, and its weight.
type estimate struct{ log, weight float64 }

// weightedMedian returns the weighted median of the estimates, which it sorts. If two values
// qualify it returns the one nearer to zero.
func weightedMedian(estimates []estimate) float64 {
	slices.SortFunc(estimates, func(a, b estimate) int { return cmp.Compare(a.log, b.log) })
	half := 0.0
	for i := range estimates {
		half += estimates[i].weight / 2
	}
	below := 0.0
	for i := range estimates {
		below += estimates[i].weight
		if below < half {
			continue
		}
		if i+1 < len(estimates) && below == half && math.Abs(estimates[i+1].log) < math.Abs(estimates[i].log) {
			return estimates[i+1].log
		}
		return estimates[i].log
	}
	return 0
}

// median returns the median of the values, which it sorts, or zero without values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	middle := len(values) / 2
	if len(values)%2 == 1 {
		return values[middle]
	}
	return (values[middle-1] + values[middle]) / 2
}
