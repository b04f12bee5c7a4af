package fleet

import (
	"testing"
	"time"
)

// Guards against many simultaneous attempts to acquire the vacant lease, and against a long wait
// if the first candidates are gone. The first nodes try alone, each later turn has at most twice
// as many candidates, and the last of hundreds tries within two seconds.
func TestCandidacyTurnsGrowAndEndWithinTwoSeconds(t *testing.T) {
	const nodes = 400
	candidatesByTurn := map[int]int{}
	for rank := range nodes {
		if candidacyTurn(rank) < candidacyTurn(max(rank-1, 0)) {
			t.Fatalf("rank %d has an earlier turn than rank %d", rank, rank-1)
		}
		candidatesByTurn[candidacyTurn(rank)]++
	}
	for turn, candidates := range candidatesByTurn {
		if limit := 1 << max(turn-soloTurns-1, 0); candidates > limit {
			t.Errorf("%d candidates in turn %d, want at most %d", candidates, turn, limit)
		}
	}
	if last := time.Duration(candidacyTurn(nodes-1)) * candidacyStep; last > 2*time.Second {
		t.Errorf("the last candidate's turn comes after %v, want at most 2s", last)
	}
}
