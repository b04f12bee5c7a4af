package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// The burst: 400 requests at 16 routers at once, to 12 replicas.
const (
	burstRouters  = 16
	burstRequests = 400
	burstReplicas = 12
)

// burst is a situation that all routers see alike.
type burst struct {
	name  string
	slots int
	// reported work of the first replicas; the others are reported idle.
	reportedBusy, reportedWork int
	// prefixes of every request, which the first machine is said to hold.
	prefixes int
}

// burstStatus is the status all routers have, and its load report a second old.
func (s burst) status() wire.CellStatus {
	status := wire.CellStatus{Zone: "z1", Token: 1, Sequence: 1, Full: true}
	for i := range burstReplicas {
		status.Replicas = append(status.Replicas, loaded(burstMachine(i), s.slots))
		load := wire.MachineLoad{Machine: burstMachine(i), Age: time.Second}
		if i < s.reportedBusy {
			load.Running = s.reportedWork
		}
		status.Loads = append(status.Loads, load)
	}
	return status
}

func burstMachine(i int) cluster.MachineID { return cluster.MachineID(fmt.Sprintf("m%02d", i)) }

// routers makes the routers of the burst. With shares false each believes to
// be alone, which leaves plain two random choices by own and reported work.
func (s burst) routers(shares bool, seed uint64) []*Router {
	var routers []*Router
	for i := range burstRouters {
		config := Config{Zone: "z1", ExpectedRouters: 1}
		if shares {
			config.ExpectedRouters = burstRouters
		}
		router := New(config, seed*burstRouters+uint64(i))
		policy := testPolicy()
		policy.QueueLength, policy.QueueBytes = 1000, 1<<30
		router.Step(start, SettingsChanged{Snapshot: testSnapshot(policy)})
		router.Step(start, CellStatusChanged{Status: s.status()})
		for j := range s.prefixes {
			event := cluster.CacheEvent{Machine: burstMachine(0), Sequence: uint64(j) + 1, Model: "chat", PrefixHash: uint64(j) + 100}
			router.Step(start, CacheEventsArrived{Events: []cluster.CacheEvent{event}})
		}
		routers = append(routers, router)
	}
	return routers
}

// run sends the burst and returns how many requests each replica got.
func (s burst) run(routers []*Router) map[cluster.MachineID]int {
	var prefixes []uint64
	for j := range s.prefixes {
		prefixes = append(prefixes, uint64(j)+100)
	}
	got := make(map[cluster.MachineID]int)
	for i := range burstRequests {
		request := Request{ID: cluster.RequestID(fmt.Sprint(i)), Model: "chat", TokenPath: "/", Prefixes: prefixes}
		for _, effect := range routers[i%burstRouters].Step(start, RequestArrived{Request: request}) {
			if dispatch, ok := effect.(Dispatch); ok {
				got[dispatch.Machine]++
			}
		}
	}
	return got
}

// random sends the burst to uniformly random replicas.
func (s burst) random(seed uint64) map[cluster.MachineID]int {
	random := rand.New(rand.NewPCG(seed, 2))
	got := make(map[cluster.MachineID]int)
	for range burstRequests {
		got[burstMachine(random.IntN(burstReplicas))]++
	}
	return got
}

// imbalance is the largest count over the mean, of what was sent alone and
// together with the reported work.
func (s burst) imbalance(got map[cluster.MachineID]int) (gone, there float64) {
	largest, sum, largestTrue, sumTrue := 0, 0, 0, 0
	for i := range burstReplicas {
		count := got[burstMachine(i)]
		largest, sum = max(largest, count), sum+count
		if i < s.reportedBusy {
			count += s.reportedWork
		}
		largestTrue, sumTrue = max(largestTrue, count), sumTrue+count
	}
	return float64(largest) * burstReplicas / float64(sum), float64(largestTrue) * burstReplicas / float64(sumTrue)
}

// burstSeeds are averaged over.
const burstSeeds = 20

// measure averages the imbalance of one way to choose over all seeds.
func (s burst) measure(send func(seed uint64) map[cluster.MachineID]int) (gone, there float64) {
	for seed := range uint64(burstSeeds) {
		a, b := s.imbalance(send(seed))
		gone, there = gone+a/burstSeeds, there+b/burstSeeds
	}
	return gone, there
}

// TestBurstDoesNotHerd compares the ways to choose a replica by the largest
// number in flight over the mean: if the reported work, a second old, is gone
// by now, and if it is still there.
func TestBurstDoesNotHerd(t *testing.T) {
	for _, s := range []burst{
		{name: "nothing reported", slots: 64},
		{name: "10 of 12 reported busy", slots: 64, reportedBusy: 10, reportedWork: 20},
		{name: "11 of 12 reported full", slots: 64, reportedBusy: 11, reportedWork: 64},
		{name: "8 slots, 10 of 12 reported busy", slots: 8, reportedBusy: 10, reportedWork: 6},
		{name: "one prefix, one holder", slots: 64, prefixes: 16},
	} {
		t.Run(s.name, func(t *testing.T) {
			random, randomTrue := s.measure(s.random)
			plain, plainTrue := s.measure(func(seed uint64) map[cluster.MachineID]int { return s.run(s.routers(false, seed)) })
			shares, sharesTrue := s.measure(func(seed uint64) map[cluster.MachineID]int { return s.run(s.routers(true, seed)) })
			t.Logf("max/mean, reported work gone: random %.2f, two choices %.2f, by shares %.2f", random, plain, shares)
			t.Logf("max/mean, reported work there: random %.2f, two choices %.2f, by shares %.2f", randomTrue, plainTrue, sharesTrue)
			if shares > plain+0.01 || shares > 2 || sharesTrue > 1.6 {
				t.Errorf("shares %.2f and %.2f, two choices %.2f", shares, sharesTrue, plain)
			}
		})
	}
}
