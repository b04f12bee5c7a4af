package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

// TestSeedsDrawTheSameSchedulesAsBefore guards against changes of the schedules of seeds that are on record: what an
// option adds is drawn from a random source of its own.
func TestSeedsDrawTheSameSchedulesAsBefore(t *testing.T) {
	for _, seed := range []uint64{1, 42} {
		for _, options := range []bool{false, true} {
			size := Size{Nodes: 4, Workers: 6, Span: 23 * time.Second, Restores: options, LateEntries: options, Surplus: options}
			schedule := Draw(seed, size)
			text, err := schedule.Encode()
			if err != nil {
				t.Fatal(err)
			}
			goldie.New(t).Assert(t, fmt.Sprintf("seed-%d-options-%t", seed, options), text)
		}
	}
}
