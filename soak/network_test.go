package soak

import "testing"

// TestRunsReserveDifferentNetworks guards against two runs that take the same network, since the nodes of the first
// one do not listen yet, and then fail at each other's ports.
func TestRunsReserveDifferentNetworks(t *testing.T) {
	first, firstHeld, err := reserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	second, secondHeld, err := reserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	if first == second {
		t.Errorf("two runs got the network %s", first)
	}
	for _, held := range []interface{ Close() error }{firstHeld, secondHeld} {
		if err := held.Close(); err != nil {
			t.Error(err)
		}
	}
	third, thirdHeld, err := reserveNetwork()
	if err != nil {
		t.Fatal(err)
	}
	if third != first {
		t.Errorf("the network %s is not free again, got %s", first, third)
	}
	if err := thirdHeld.Close(); err != nil {
		t.Error(err)
	}
}
