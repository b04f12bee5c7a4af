package simulation

import (
	"slices"
	"testing"
	"time"
)

// runRandomEvents schedules events at random times and returns the order in which
// they ran and the event log hash.
func runRandomEvents(seed uint64) ([]int64, uint64) {
	kernel := NewKernel(seed)
	random := kernel.Stream("test")
	var order []int64
	for i := range int64(200) {
		kernel.After(time.Duration(random.IntN(50))*time.Millisecond, LabelCheck, func() { order = append(order, i) })
	}
	kernel.Run(Epoch.Add(time.Minute))
	return order, kernel.Hash()
}

// Guards against runs that can't be reproduced from their seed, and against a hash
// that doesn't depend on the events.
func TestKernelRunsAreEqualForEqualSeeds(t *testing.T) {
	first, firstHash := runRandomEvents(7)
	second, secondHash := runRandomEvents(7)
	if !slices.Equal(first, second) || firstHash != secondHash {
		t.Fatalf("one seed gave two runs: hashes %x and %x", firstHash, secondHash)
	}
	if _, other := runRandomEvents(8); other == firstHash {
		t.Fatal("two seeds have the same event log hash")
	}
	if len(first) != 200 {
		t.Fatalf("%d events ran, want 200", len(first))
	}
}

// Guards against an event queue that reorders events with the same time, or that
// runs a canceled event.
func TestKernelRunsSimultaneousEventsInSchedulingOrder(t *testing.T) {
	kernel := NewKernel(1)
	var order []int
	for i := range 10 {
		kernel.After(time.Second, LabelCheck, func() { order = append(order, i) })
	}
	canceled := kernel.After(time.Second, LabelCheck, func() { order = append(order, -1) })
	canceled.Cancel()
	kernel.Run(Epoch.Add(2 * time.Second))
	if !slices.IsSorted(order) || len(order) != 10 {
		t.Fatalf("events at one instant ran in order %v", order)
	}
	if want := Epoch.Add(2 * time.Second); !kernel.Now().Equal(want) {
		t.Fatalf("virtual time is %v, want %v", kernel.Now(), want)
	}
}

// Guards against messages that pass into an isolated zone, and against counts that
// don't match the messages delivered under loss and duplication.
func TestNetworkDropsMessagesToIsolatedZoneAndCountsFaults(t *testing.T) {
	kernel := NewKernel(3)
	network := NewNetwork(kernel, NetworkConfig{WithinZone: time.Millisecond, BetweenZones: 2 * time.Millisecond, Loss: 0.5, Duplication: 0.5})
	west, east := Place{Zone: "west", Region: "r"}, Place{Zone: "east", Region: "r"}
	delivered := 0
	send := func(count int) {
		for range count {
			network.Send(west, east, func() { delivered++ })
		}
		kernel.Run(kernel.Now().Add(time.Second))
	}
	network.IsolateZone("east", true)
	send(100)
	if delivered != 0 || network.Counts.Cut != 100 {
		t.Fatalf("an isolated zone got %d messages, %d counted as cut", delivered, network.Counts.Cut)
	}
	network.IsolateZone("east", false)
	send(1000)
	want := int(1000 - network.Counts.Lost + network.Counts.Duplicated)
	if delivered != want || network.Counts.Lost == 0 || network.Counts.Duplicated == 0 {
		t.Fatalf("%d delivered, want %d; counts %+v", delivered, want, network.Counts)
	}
}

// Guards against a store that runs more fetches than its concurrency at full speed.
func TestWeightStoreSharesThroughputBeyondConcurrency(t *testing.T) {
	kernel := NewKernel(1)
	store := NewWeightStore(kernel, WeightStoreConfig{StartsPerSecond: 100, Concurrency: 2, BytesPerSecond: 100})
	var ends []time.Duration
	for range 4 {
		store.Start(1000, func() { ends = append(ends, kernel.Now().Sub(Epoch).Round(time.Second)) })
	}
	kernel.Run(Epoch.Add(time.Minute))
	// Four fetches share the throughput of two, so each takes 20 s instead of 10 s.
	if !slices.Equal(ends, []time.Duration{20 * time.Second, 20 * time.Second, 20 * time.Second, 20 * time.Second}) {
		t.Fatalf("fetches ended at %v", ends)
	}
	if store.Peak != 4 || store.Active() != 0 {
		t.Fatalf("peak %d and %d active", store.Peak, store.Active())
	}
}
