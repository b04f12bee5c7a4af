package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/wire"
)

// The burst: 400 requests that arrive at 16 routers at the same time, for 12 replicas.
const (
	burstRouters  = 16
	burstRequests = 400
	burstReplicas = 12
)

// burst is a burst of requests with a status that all routers have in common.
type burst struct {
	name  string
	slots int
	// reportedBusy is the number of replicas reported with reportedWork requests each; the others
	// are reported idle.
	reportedBusy, reportedWork int
	// prefixes is the number of prompt blocks of every request that the first machine has cached.
	prefixes int
}

// status returns the status that all routers have. Its load reports are one second old.
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

// routers creates the routers of the burst. With shares false each assumes to be the only one,
// which leaves two random choices by own and reported work.
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

// imbalance returns the largest count over the mean, for the requests sent and for the sum of these
// and the reported work.
func (s burst) imbalance(got map[cluster.MachineID]int) (sentOnly, withReported float64) {
	largest, sum, largestTotal, sumTotal := 0, 0, 0, 0
	for i := range burstReplicas {
		count := got[burstMachine(i)]
		largest, sum = max(largest, count), sum+count
		if i < s.reportedBusy {
			count += s.reportedWork
		}
		largestTotal, sumTotal = max(largestTotal, count), sumTotal+count
	}
	return float64(largest) * burstReplicas / float64(sum), float64(largestTotal) * burstReplicas / float64(sumTotal)
}

// burstSeeds is the number of seeds that results are averaged over.
const burstSeeds = 20

// measure averages the imbalance of one method of choice over all seeds.
func (s burst) measure(send func(seed uint64) map[cluster.MachineID]int) (sentOnly, withReported float64) {
	for seed := range uint64(burstSeeds) {
		a, b := s.imbalance(send(seed))
		sentOnly, withReported = sentOnly+a/burstSeeds, withReported+b/burstSeeds
	}
	return sentOnly, withReported
}

// TestBurstIsSpreadOverReplicas guards against herding: routers with the same view that all send a
// burst to the same replicas. It compares random choice, two choices and choice by shares, both if
// the reported work, a second old, has ended by now and if it still runs.
func TestBurstIsSpreadOverReplicas(t *testing.T) {
	for _, s := range []burst{
		{name: "nothing reported", slots: 64},
		{name: "10 of 12 reported busy", slots: 64, reportedBusy: 10, reportedWork: 20},
		{name: "11 of 12 reported full", slots: 64, reportedBusy: 11, reportedWork: 64},
		{name: "8 slots, 10 of 12 reported busy", slots: 8, reportedBusy: 10, reportedWork: 6},
		{name: "one prefix, cached on one machine", slots: 64, prefixes: 16},
	} {
		t.Run(s.name, func(t *testing.T) {
			random, randomTotal := s.measure(s.random)
			plain, plainTotal := s.measure(func(seed uint64) map[cluster.MachineID]int { return s.run(s.routers(false, seed)) })
			shares, sharesTotal := s.measure(func(seed uint64) map[cluster.MachineID]int { return s.run(s.routers(true, seed)) })
			t.Logf("max/mean if reported work has ended: random %.2f, two choices %.2f, by shares %.2f", random, plain, shares)
			t.Logf("max/mean if reported work still runs: random %.2f, two choices %.2f, by shares %.2f", randomTotal, plainTotal, sharesTotal)
			if shares > plain+0.01 || shares > 2 || sharesTotal > 1.6 {
				t.Errorf("max/mean by shares %.2f and %.2f, by two choices %.2f", shares, sharesTotal, plain)
			}
		})
	}
}
