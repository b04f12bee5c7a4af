package shell_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/valveslip/valveslip/fleet"
	"github.com/valveslip/valveslip/fleet/shell"
	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/standin/worker"
	"github.com/valveslip/valveslip/verdict"
)

// Guarded failure: all nodes are killed at once, so that nobody knows at which software version a stream began.
// Nodes that start took the versions that they saw for all that there had been, and let streams go on at another one.

// The software versions of the workers before and after a change.
const (
	earlierRelease = "v1"
	laterRelease   = "v1.2"
)

// recordRefusingStore is a store that refuses the record of releases, or loses the answer after it was written.
type recordRefusingStore struct {
	shell.Store
	refuses, losesAnswers atomic.Bool
}

func (s *recordRefusingStore) Txn(ctx context.Context, transaction keyvalue.Transaction) (keyvalue.TransactionResult, error) {
	record := slices.ContainsFunc(transaction.Operations, func(o keyvalue.Operation) bool { return o.Key == fleet.KeyReleases })
	if record && s.refuses.Load() {
		return keyvalue.TransactionResult{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the store refuses the record")
	}
	result, err := s.Store.Txn(ctx, transaction)
	if record && s.losesAnswers.Load() {
		return keyvalue.TransactionResult{}, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the answer was lost")
	}
	return result, err
}

// killableFleet is a set of workers and of nodes that are all killed at once and start again.
type killableFleet struct {
	*releaseFleet
	nodes []*shell.Node
	// stores are those of the nodes that run.
	stores []*recordRefusingStore
}

func newKillableFleet(t *testing.T) *killableFleet {
	f := &killableFleet{releaseFleet: newReleaseFleet(t, 0, nil)}
	f.add("early-0", earlierRelease, nil)
	f.add("early-1", earlierRelease, nil)
	f.startNodes("first", true)
	return f
}

// startNodes starts three nodes; first says whether no node ran before.
func (f *killableFleet) startNodes(prefix string, first bool) {
	f.t.Helper()
	f.nodes, f.stores = nil, nil
	for i := range 3 {
		store := &recordRefusingStore{}
		f.nodes = append(f.nodes, f.startNode(fmt.Sprintf("%s-%d", prefix, i), func(o *shell.Options) {
			o.Core.FirstStart = first
			o.Core.Routing.ExpectedRouters = 3
			o.Core.Routing.RetryExtra = 1000
			store.Store, o.Store = o.Store, store
		}))
		f.stores = append(f.stores, store)
	}
}

func (f *killableFleet) killNodes() {
	for _, node := range f.nodes {
		node.Kill()
	}
}

// remove ends a worker.
func (f *killableFleet) remove(ended *worker.Worker) {
	f.workers[ended] = ended.Release()
	f.store.Remove(ended.Key())
}

// begin begins streams at all nodes and returns their IDs.
func (f *killableFleet) begin(prefix string, count int) []string {
	f.t.Helper()
	ids := make([]string, count)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", prefix, i)
		f.eventually("the stream "+ids[i]+" begins", func() bool {
			return f.call(f.nodes[i%len(f.nodes)], http.MethodPost, "/stream/x", "", withModel("big")).status == http.StatusOK
		})
		f.readSomeEvents(f.nodes[i%len(f.nodes)], ids[i], 3)
	}
	return ids
}

// takeUp resumes streams, all at once since they end with their deadlines, and returns how many went on. It fails the
// test if one went on at another release.
func (f *killableFleet) takeUp(ids []string) int {
	f.t.Helper()
	var wentOn, joined atomic.Int64
	var callers sync.WaitGroup
	for i, id := range ids {
		callers.Go(func() {
			got, attempts := f.resume(f.nodes[(i+1)%len(f.nodes)], id, id+"-again", 3)
			if got.err == nil && got.status == http.StatusOK {
				wentOn.Add(1)
			}
			if len(f.releasesOf(append(attempts, id)...)) != 1 {
				joined.Add(1)
			}
		})
	}
	callers.Wait()
	if joined.Load() > 0 {
		f.t.Errorf("%d of %d streams that were taken up ran at two releases", joined.Load(), len(ids))
	}
	return int(wentOn.Load())
}

// knowWorkers waits until all nodes know a number of workers.
func (f *killableFleet) knowWorkers(count int) {
	f.t.Helper()
	f.eventually("all nodes know the workers", func() bool {
		return !slices.ContainsFunc(f.nodes, func(n *shell.Node) bool { return metric(n, "valveslip_workers") != float64(count) })
	})
}

// TestStreamsAreNotJoinedWhenReleaseChangesWhileAllNodesAreDown guards against streams that go on at the release
// that took the place of theirs while no node ran.
func TestStreamsAreNotJoinedWhenReleaseChangesWhileAllNodesAreDown(t *testing.T) {
	for _, beforeKill := range []bool{false, true} {
		t.Run(fmt.Sprintf("later release comes before the kill=%v", beforeKill), func(t *testing.T) {
			f := newKillableFleet(t)
			early := slices.Collect(func(yield func(*worker.Worker) bool) {
				for w := range f.workers {
					if !yield(w) {
						return
					}
				}
			})
			ids := f.begin("early", 12)
			if beforeKill {
				f.add("late", laterRelease, nil)
			}
			f.killNodes()
			if !beforeKill {
				f.add("late", laterRelease, nil)
			}
			for _, w := range early {
				f.remove(w)
			}
			f.startNodes("second", false)
			f.takeUp(ids)
		})
	}
}

// TestStreamsAreNotJoinedWhenWorkerStartsAgainWhileAllNodesAreDown guards against streams that go on at a worker that
// started again under its ID, with another release, while no node ran.
func TestStreamsAreNotJoinedWhenWorkerStartsAgainWhileAllNodesAreDown(t *testing.T) {
	f := &killableFleet{releaseFleet: newReleaseFleet(t, 0, nil)}
	early := f.add("same", earlierRelease, nil)
	f.registerStart(early, 1000)
	f.startNodes("first", true)
	ids := f.begin("early", 12)
	f.killNodes()
	early.StartAgain(laterRelease, 2000)
	f.registerStart(early, 2000)
	f.startNodes("second", false)
	f.takeUp(ids)
}

// TestStreamsAreNotJoinedWhenTheirReleaseWasSeenOnlyByKilledNodes guards against streams of a release that came just
// before all nodes were killed, and left while they were down: it is recorded late, never, with a lost answer, or in
// a store that comes back from an earlier copy.
func TestStreamsAreNotJoinedWhenTheirReleaseWasSeenOnlyByKilledNodes(t *testing.T) {
	type trouble struct{ refuses, losesAnswers, restores bool }
	for name, c := range map[string]trouble{
		"recorded": {}, "record refused": {refuses: true}, "answer lost": {losesAnswers: true}, "earlier copy": {restores: true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newKillableFleet(t)
			f.begin("early", 6)
			before := f.store.Copy()
			for _, store := range f.stores {
				store.refuses.Store(c.refuses)
				store.losesAnswers.Store(c.losesAnswers)
			}
			late := []*worker.Worker{f.add("late-0", laterRelease, nil), f.add("late-1", laterRelease, nil)}
			f.knowWorkers(4)
			ids := f.begin("late", 24)
			f.killNodes()
			for _, w := range late {
				f.remove(w)
			}
			if c.restores {
				f.store.Restore(before)
			}
			f.startNodes("second", false)
			f.takeUp(ids)
		})
	}
}

// TestStreamsOfSingleReleaseGoOnAfterAllNodesWereKilled guards against nodes that refuse, for lack of knowledge, the
// streams of a service that had the same release before and after all of them were killed.
func TestStreamsOfSingleReleaseGoOnAfterAllNodesWereKilled(t *testing.T) {
	f := newKillableFleet(t)
	ids := f.begin("early", 12)
	f.killNodes()
	f.startNodes("second", false)
	if wentOn := f.takeUp(ids); wentOn != len(ids) {
		t.Errorf("%d of %d streams went on", wentOn, len(ids))
	}
}

// storedOrigins returns the requests whose origins the store holds.
func (f *killableFleet) storedOrigins() map[string]bool {
	f.t.Helper()
	pairs, _, err := f.stores[0].Range(context.Background(), fleet.KeyOrigins)
	if err != nil {
		f.t.Fatal(err)
	}
	stored := map[string]bool{}
	for i := range pairs {
		record, err := fleet.DecodeOrigins(pairs[i].Value)
		if err != nil {
			f.t.Fatal(err)
		}
		for _, requests := range record.Streams {
			for _, request := range requests {
				stored[string(request)] = true
			}
		}
	}
	return stored
}

// TestStreamsOfSeveralReleasesGoOnAfterAllNodesWereKilled guards against the loss of all streams of a service of several
// releases, because only the killed nodes knew where they had begun.
func TestStreamsOfSeveralReleasesGoOnAfterAllNodesWereKilled(t *testing.T) {
	f := newKillableFleet(t)
	f.add("late-0", laterRelease, nil)
	f.add("late-1", laterRelease, nil)
	f.knowWorkers(4)
	ids := f.begin("mixed", 24)
	f.eventually("the origins are stored", func() bool {
		stored := f.storedOrigins()
		return !slices.ContainsFunc(ids, func(id string) bool { return !stored[id] })
	})
	f.killNodes()
	f.startNodes("second", false)
	if wentOn := f.takeUp(ids); wentOn != len(ids) {
		t.Errorf("%d of %d streams went on", wentOn, len(ids))
	}
}

// TestNewReleaseServesStreamsOnceItIsRecorded guards against workers of a new release that take no streams although
// the record of releases names theirs.
func TestNewReleaseServesStreamsOnceItIsRecorded(t *testing.T) {
	f := newKillableFleet(t)
	f.begin("early", 3)
	for w := range f.workers {
		f.remove(w)
	}
	f.add("late", laterRelease, nil)
	ids := f.begin("late", 6)
	if releases := f.releasesOf(ids...); !releases[laterRelease] {
		t.Errorf("streams ran at the releases %v", releases)
	}
}
