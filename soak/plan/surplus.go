package plan

import "time"

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
	return drawIndependentSeries(seed, 9, size, meanSurplusGap, func(d *generator, f *Fault) {
		f.Kind, f.For = surplusKinds[d.random.IntN(len(surplusKinds))], d.uniformDuration(minSurplusTime, maxSurplusTime)
		f.Targets = []int{d.random.IntN(size.Workers)}
	})
}
