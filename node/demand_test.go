package node

import (
	"testing"
	"time"

	"github.com/valveslip/valveslip/wire"
)

func TestDemandReachesFurtherZonesInTime(t *testing.T) {
	for _, test := range []struct {
		name              string
		waited, remaining time.Duration
		zones             int
	}{
		{"just arrived", 0, 15 * time.Second, 1},
		{"a quarter of 15 s gone", 4 * time.Second, 11 * time.Second, 2},
		{"half of 15 s gone", 8 * time.Second, 7 * time.Second, 3},
		{"long deadline, short wait", 10 * time.Second, 10 * time.Minute, 1},
		{"long deadline, long wait", 21 * time.Second, 10 * time.Minute, 2},
		{"very short deadline", 900 * time.Millisecond, 100 * time.Millisecond, 1},
	} {
		model := wire.ModelDemand{Model: "m", Waiting: 1, OldestWait: test.waited, EarliestDeadline: test.remaining}
		if got := zonesReached(model); got != test.zones {
			t.Errorf("%s: shown to %d zones, want %d", test.name, got, test.zones)
		}
	}
}
