package plan

import (
	"math/rand/v2"
	"time"
)

// Parameters of the answers that nobody expects: meanSurplusGap is the mean time between two series, minSurplusTime and
// maxSurplusTime bound how long a worker sends them.
const (
	meanSurplusGap = 3 * time.Second
	minSurplusTime = 500 * time.Millisecond
	maxSurplusTime = 5 * time.Second
)

// surplusKinds are the kinds of answers that nobody expects, each as often as it is listed.
var surplusKinds = []Kind{WorkerRejectTwice, WorkerRejectTwice, WorkerRejectTwice, WorkerAnswerTwice, WorkerRejectNobody, WorkerEndless}

// drawSurplus draws series of workers that send answers which nobody expects, or answers without end.
func drawSurplus(seed uint64, size Size) []Fault {
	var faults []Fault
	for _, first := range drawIndependent(rand.NewPCG(seed, 9), size, WorkerRejectTwice, meanSurplusGap, func(*generator, *Fault) {}) {
		d := &generator{random: rand.New(rand.NewPCG(seed, uint64(first.At))), size: size}
		at := first.At
		for range 1 + d.random.IntN(maxSeriesLength) {
			fault := first
			fault.Kind, fault.At, fault.For = surplusKinds[d.random.IntN(len(surplusKinds))], at, d.uniformDuration(minSurplusTime, maxSurplusTime)
			fault.Targets = []int{d.random.IntN(size.Workers)}
			faults = append(faults, fault)
			at += d.uniformDuration(0, 2*maxSeriesGap)
		}
	}
	return faults
}
