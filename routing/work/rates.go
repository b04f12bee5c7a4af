package work

import "math"

// rates are the prefill costs on the reference engine with the reference model, in ms.
type rates struct {
	// overhead is the time to the first event apart from prefill. perToken and perMillionPairs
	// are the prefill times for a token and for a million token pairs.
	overhead, perToken, perMillionPairs float64
}

// prefill returns the prefill time of a prompt.
func (r rates) prefill(uncached, pairs float32) float64 {
	return r.perToken*float64(uncached) + r.perMillionPairs*float64(pairs)
}

// expectedFirst returns the expected time to the first event of a sample on the reference engine.
func (r rates) expectedFirst(s *sample) float64 {
	return r.overhead + s.model.factor*r.prefill(s.uncached, s.pairs) + float64(s.ahead)
}

// ownShare returns the share of the expected time to the first event that is not prefill of other
// prompts, of which nodes know little.
func (r rates) ownShare(s *sample) float64 { return 1 - float64(s.ahead)/r.expectedFirst(s) }

// logSpeed returns the logarithm of the engine speed that a sample implies.
func (r rates) logSpeed(s *sample) float64 {
	return math.Log(r.expectedFirst(s) / float64(s.elapsed))
}

// logFactor returns the logarithm of the model factor that a sample implies, at the engine's
// baseline speed.
func (r rates) logFactor(s *sample) float64 {
	prefill := r.prefill(s.uncached, s.pairs)
	remaining := float64(s.elapsed)*s.engine.speed - r.overhead - float64(s.ahead)
	return math.Log(max(remaining/prefill, 1.0/maxFactor))
}

const (
	// fitIterations is the number of reweighting steps of one fit; the next fit continues from its
	// result.
	fitIterations = 6
	// fitTolerance is the relative error below which all observations weigh the same, because
	// the inverse of a smaller error would be an excessive weight.
	fitTolerance = 0.02
	// fitPriorWeight is the weight of the prior of each rate, in observations that are off by a
	// third; it matters only where prompts are too similar to tell the rates apart.
	fitPriorWeight = 0.3
	// fitPinnedWeight pins a rate to its target: no number of observations outweighs it.
	fitPinnedWeight = 1e9
	// minRateShare is the lower bound of each rate, as a share of its prior, so that no rate
	// becomes zero or negative.
	minRateShare = 0.01
)

// fit returns the rates with the least absolute relative errors over the samples, starting from r,
// by iteratively reweighted least squares: each iteration solves weighted least squares in which an
// observation weighs the inverse of its error. Observations with much prefill ahead of them weigh
// less, because the estimate of that prefill came from the rates themselves.
func (r rates) fit(samples []sample, prior rates) rates {
	for range fitIterations {
		var sums normalEquations
		for i := range samples {
			sums.add(&samples[i], r)
		}
		r = sums.solve(prior)
	}
	return r
}

// normalEquations are the normal equations of a least-squares fit of the three rates.
type normalEquations struct {
	matrix    [3][3]float64
	constants [3]float64
}

// add adds one sample, weighted by its error under the rates r.
func (n *normalEquations) add(s *sample, r rates) {
	expected := r.expectedFirst(s)
	took := float64(s.elapsed) * s.engine.speed
	relativeError := max(math.Abs(took/expected-1), fitTolerance)
	own := r.ownShare(s)
	weight := own * own / (expected * expected * relativeError)
	x := [3]float64{1, s.model.factor * float64(s.uncached), s.model.factor * float64(s.pairs)}
	for i := range x {
		for j := range x {
			n.matrix[i][j] += weight * x[i] * x[j]
		}
		n.constants[i] += weight * x[i] * (took - float64(s.ahead))
	}
}

// solve returns the rates; a rate that would fall below its bound is pinned there.
func (n *normalEquations) solve(prior rates) rates {
	assumed := [3]float64{prior.overhead, prior.perToken, prior.perMillionPairs}
	weights := [3]float64{fitPriorWeight, fitPriorWeight, fitPriorWeight}
	targets := assumed
	var found [3]float64
	for range assumed {
		found = n.solveWith(assumed, weights, targets)
		bounded := true
		for i := range found {
			if least := minRateShare * assumed[i]; found[i] < least*(1-fitTolerance) {
				weights[i], targets[i], bounded = fitPinnedWeight, least, false
			}
		}
		if bounded {
			break
		}
	}
	for i := range found {
		found[i] = max(found[i], minRateShare*assumed[i])
	}
	return rates{overhead: found[0], perToken: found[1], perMillionPairs: found[2]}
}

// solveWith solves the equations with each rate drawn to a target by its weight. It scales each
// rate by its prior, so that all unknowns are of similar size.
func (n *normalEquations) solveWith(assumed, weights, targets [3]float64) [3]float64 {
	var a [3][4]float64
	for i := range a {
		for j := range assumed {
			a[i][j] = n.matrix[i][j] * assumed[i] * assumed[j]
		}
		a[i][i] += weights[i]
		a[i][3] = n.constants[i]*assumed[i] + weights[i]*targets[i]/assumed[i]
	}
	found := eliminate(a)
	for i := range found {
		found[i] *= assumed[i]
	}
	return found
}

// eliminate solves three linear equations with a symmetric positive definite matrix by Gaussian
// elimination.
func eliminate(a [3][4]float64) [3]float64 {
	for i := range a {
		for k := i + 1; k < len(a); k++ {
			part := a[k][i] / a[i][i]
			for j := i; j < len(a[k]); j++ {
				a[k][j] -= part * a[i][j]
			}
		}
	}
	var found [3]float64
	for i := len(a) - 1; i >= 0; i-- {
		rest := a[i][3]
		for j := i + 1; j < len(found); j++ {
			rest -= a[i][j] * found[j]
		}
		found[i] = rest / a[i][i]
	}
	return found
}
