package fleet

import (
	"testing"
	"time"
)

// TestTurnsOfCandidates: the first nodes stand for the lease alone, each later turn has
// at most twice as many as the one before, and the last of hundreds has its turn within
// two seconds.
func TestTurnsOfCandidates(t *testing.T) {
	const nodes = 400
	standing := map[int]int{}
	for rank := range nodes {
		if candidacyTurn(rank) < candidacyTurn(max(rank-1, 0)) {
			t.Fatalf("rank %d stands before rank %d", rank, rank-1)
		}
		standing[candidacyTurn(rank)]++
	}
	for turn, candidates := range standing {
		if most := 1 << max(turn-soloTurns-1, 0); candidates > most {
			t.Errorf("%d nodes stand in turn %d, at most %d may", candidates, turn, most)
		}
	}
	if last := time.Duration(candidacyTurn(nodes-1)) * candidacyStep; last > 2*time.Second {
		t.Errorf("the last node stands after %v", last)
	}
}
