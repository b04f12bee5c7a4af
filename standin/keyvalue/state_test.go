package keyvalue_test

import (
	"bytes"
	"errors"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/keyvalue/gateway"
	standin "github.com/valveslip/valveslip/standin/keyvalue"
)

var epoch = time.Unix(1_000_000, 0)

// model is the simplest thing that behaves like the service without leases.
type model struct {
	revision int64
	pairs    map[string]keyvalue.KeyValue
}

// apply is the model's transaction.
func (m *model) apply(transaction keyvalue.Transaction) bool {
	for _, compare := range transaction.Compares {
		if m.pairs[compare.Key].ModRevision != compare.ModRevision {
			return false
		}
	}
	next := maps.Clone(m.pairs)
	changed := false
	for _, operation := range transaction.Operations {
		pair, exists := next[operation.Key]
		if operation.Delete {
			changed = changed || exists
			delete(next, operation.Key)
			continue
		}
		changed = true
		if !exists {
			pair = keyvalue.KeyValue{Key: operation.Key, CreateRevision: m.revision + 1}
		}
		pair.Value, pair.ModRevision, pair.Version = operation.Value, m.revision+1, pair.Version+1
		next[operation.Key] = pair
	}
	if changed {
		m.revision++
	}
	m.pairs = next
	return true
}

var keys = []string{"/a", "/a/b", "/b", "/c"}

// drawTransaction draws compares that often hold and writes of distinct keys.
func drawTransaction(t *rapid.T, m *model) keyvalue.Transaction {
	var transaction keyvalue.Transaction
	for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 0, 2, rapid.ID).Draw(t, "compared") {
		expected := m.pairs[key].ModRevision
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			expected = rapid.Int64Range(0, m.revision+1).Draw(t, "expected")
		}
		transaction.Compares = append(transaction.Compares, keyvalue.Compare{Key: key, ModRevision: expected})
	}
	for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 0, 3, rapid.ID).Draw(t, "written") {
		operation := keyvalue.Operation{Key: key, Delete: rapid.Bool().Draw(t, "delete")}
		if !operation.Delete {
			operation.Value = rapid.SliceOfN(rapid.Byte(), 1, 3).Draw(t, "value")
		}
		transaction.Operations = append(transaction.Operations, operation)
	}
	return transaction
}

func equalPair(a, b keyvalue.KeyValue) bool {
	return a.Key == b.Key && bytes.Equal(a.Value, b.Value) && a.CreateRevision == b.CreateRevision &&
		a.ModRevision == b.ModRevision && a.Version == b.Version && a.Lease == b.Lease
}

// TestTransactionsMatchModel checks results, contents and the watch history
// after every transaction, and that a replay of the history gives the contents.
func TestTransactionsMatchModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := standin.NewState(standin.Config{})
		m := &model{revision: 1, pairs: map[string]keyvalue.KeyValue{}}
		for range rapid.IntRange(1, 30).Draw(t, "transactions") {
			transaction := drawTransaction(t, m)
			want := m.apply(transaction)
			result, err := state.Txn(epoch, transaction)
			if err != nil || result.Succeeded != want || result.Revision != m.revision {
				t.Fatalf("%+v: %+v, %v; want %v at %d", transaction, result, err, want, m.revision)
			}
			pairs, revision := state.Range(epoch, "/")
			expected := slices.SortedFunc(maps.Values(m.pairs), func(a, b keyvalue.KeyValue) int { return bytes.Compare([]byte(a.Key), []byte(b.Key)) })
			if revision != m.revision || !slices.EqualFunc(pairs, expected, equalPair) {
				t.Fatalf("contents %+v at %d; want %+v at %d", pairs, revision, expected, m.revision)
			}
		}
		replayed := map[string]keyvalue.KeyValue{}
		for _, event := range state.EventsSince(epoch, "/", 1).Events {
			if event.Deleted {
				delete(replayed, event.KeyValue.Key)
			} else {
				replayed[event.KeyValue.Key] = event.KeyValue
			}
		}
		if !maps.EqualFunc(replayed, m.pairs, equalPair) {
			t.Fatalf("replay %+v; want %+v", replayed, m.pairs)
		}
	})
}

func write(t *testing.T, state *standin.State, now time.Time, key string, lease int64) int64 {
	t.Helper()
	result, err := state.Txn(now, keyvalue.Transaction{Operations: []keyvalue.Operation{{Key: key, Value: []byte("v"), Lease: lease}}})
	if err != nil {
		t.Fatal(err)
	}
	return result.Revision
}

func TestLeaseLapse(t *testing.T) {
	state := standin.NewState(standin.Config{})
	lease := state.Grant(epoch, 10*time.Second)
	write(t, state, epoch, "/held", lease)
	if _, err := state.KeepAlive(epoch.Add(9*time.Second), lease); err != nil {
		t.Fatal(err)
	}
	if pairs, _ := state.Range(epoch.Add(18*time.Second), "/"); len(pairs) != 1 {
		t.Fatalf("the kept lease lapsed: %+v", pairs)
	}
	before := state.Revision()
	if pairs, _ := state.Range(epoch.Add(19*time.Second), "/"); len(pairs) != 0 {
		t.Fatalf("the lapsed lease kept its key: %+v", pairs)
	}
	if _, err := state.KeepAlive(epoch.Add(19*time.Second), lease); !errors.Is(err, keyvalue.ErrLeaseNotFound) {
		t.Fatalf("keep-alive after the lapse: %v", err)
	}
	batch := state.EventsSince(epoch.Add(19*time.Second), "/", before+1)
	if len(batch.Events) != 1 || !batch.Events[0].Deleted {
		t.Fatalf("watch of the lapse: %+v", batch)
	}
}

// TestLeaseFollowsLastWrite: a key written again without the lease outlives it.
func TestLeaseFollowsLastWrite(t *testing.T) {
	state := standin.NewState(standin.Config{})
	lease := state.Grant(epoch, time.Second)
	write(t, state, epoch, "/a", lease)
	write(t, state, epoch, "/a", 0)
	if pairs, _ := state.Range(epoch.Add(time.Hour), "/"); len(pairs) != 1 {
		t.Fatalf("contents %+v", pairs)
	}
}

func TestCompactionEndsOldWatches(t *testing.T) {
	state := standin.NewState(standin.Config{HistoryLength: 4})
	for range 20 {
		write(t, state, epoch, "/a", 0)
	}
	if batch := state.EventsSince(epoch, "/", 2); !batch.Compacted || batch.Revision != state.CompactedRevision() {
		t.Fatalf("watch from a compacted revision: %+v", batch)
	}
	from := state.CompactedRevision()
	batch := state.EventsSince(epoch, "/", from)
	if batch.Compacted || int64(len(batch.Events)) != state.Revision()-from+1 {
		t.Fatalf("watch from %d at %d: %+v", from, state.Revision(), batch)
	}
}

func TestRefusedTransactionsChangeNothing(t *testing.T) {
	put := func(key string, lease gateway.Int64) gateway.RequestOperation {
		return gateway.RequestOperation{Put: &gateway.PutRequest{Key: []byte(key), Lease: lease}}
	}
	cases := map[string]struct {
		request gateway.TxnRequest
		want    error
	}{
		"two puts of one key": {gateway.TxnRequest{Success: []gateway.RequestOperation{put("/a", 0), put("/a", 0)}}, standin.ErrDuplicateKey},
		"unknown lease":       {gateway.TxnRequest{Success: []gateway.RequestOperation{put("/a", 7)}}, keyvalue.ErrLeaseNotFound},
		"empty key":           {gateway.TxnRequest{Success: []gateway.RequestOperation{put("", 0)}}, standin.ErrEmptyKey},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			state := standin.NewState(standin.Config{})
			if _, err := state.Apply(epoch, test.request); !errors.Is(err, test.want) {
				t.Fatalf("error %v; want %v", err, test.want)
			}
			if pairs, revision := state.Range(epoch, "/"); len(pairs) != 0 || revision != 1 {
				t.Fatalf("contents %+v at %d", pairs, revision)
			}
		})
	}
}

func TestCompareTargets(t *testing.T) {
	state := standin.NewState(standin.Config{})
	write(t, state, epoch, "/a", 0) // create revision 2
	write(t, state, epoch, "/a", 0) // mod revision 3, version 2
	cases := []struct {
		compare gateway.Compare
		want    bool
	}{
		{gateway.Compare{Target: gateway.TargetCreate, Result: gateway.ResultEqual, CreateRevision: 2}, true},
		{gateway.Compare{Target: gateway.TargetCreate, Result: gateway.ResultLess, CreateRevision: 2}, false},
		{gateway.Compare{Target: gateway.TargetMod, Result: gateway.ResultGreater, ModRevision: 2}, true},
		{gateway.Compare{Target: gateway.TargetMod, Result: gateway.ResultNotEqual, ModRevision: 3}, false},
		{gateway.Compare{Target: gateway.TargetVersion, Result: gateway.ResultEqual, Version: 2}, true},
		{gateway.Compare{Target: gateway.TargetVersion, Result: gateway.ResultEqual}, false},
	}
	for _, test := range cases {
		test.compare.Key = []byte("/a")
		response, err := state.Apply(epoch, gateway.TxnRequest{Compare: []gateway.Compare{test.compare}})
		if err != nil || response.Succeeded != test.want {
			t.Errorf("%+v: %v, %v", test.compare, response.Succeeded, err)
		}
	}
}
