package placement

import (
	"math"
	"time"
)

const (
	// idleBuckets is the number of buckets. They cover idle times from minIdlePeriod to about
	// twelve days, with idleBucketsPerOctave buckets for each doubling: shorter times count as
	// minIdlePeriod.
	idleBuckets          = 80
	idleBucketsPerOctave = 4
	minIdlePeriod        = time.Second
	// idleSampleDecay is the factor applied to all earlier samples at each new one, so that
	// about the last hundred idle periods of a model dominate.
	idleSampleDecay = 0.985
)

// idleHistogram is a decaying histogram of one model's idle periods with logarithmic buckets.
// Its size is fixed.
type idleHistogram struct {
	counts [idleBuckets]float32
	total  float32
}

// add records one idle period.
func (h *idleHistogram) add(idle time.Duration) {
	for i := range h.counts {
		h.counts[i] *= idleSampleDecay
	}
	h.counts[idleBucket(idle)]++
	h.total = h.total*idleSampleDecay + 1
}

// idleBucket returns the bucket that holds the idle time.
func idleBucket(idle time.Duration) int {
	if idle <= minIdlePeriod {
		return 0
	}
	octaves := math.Log2(float64(idle) / float64(minIdlePeriod))
	return min(int(octaves*idleBucketsPerOctave)+1, idleBuckets-1)
}

// idleBucketStarts holds the lower bounds of the buckets and finally the upper bound of the
// last one, in nanoseconds.
var idleBucketStarts = func() (starts [idleBuckets + 1]float64) {
	for i := 1; i <= idleBuckets; i++ {
		starts[i] = float64(minIdlePeriod) * math.Exp2(float64(i-1)/idleBucketsPerOctave)
	}
	return starts
}()

// survivorWeights stores in out, for each bucket, the weight of the idle periods that reach its
// start. Entry idleBuckets is zero.
func (h *idleHistogram) survivorWeights(out *[idleBuckets + 1]float32) {
	out[idleBuckets] = 0
	for i := idleBuckets - 1; i >= 0; i-- {
		out[i] = out[i+1] + h.counts[i]
	}
}
