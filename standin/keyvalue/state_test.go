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

// referenceModel is a simple implementation of the store without leases, which
// the property test compares with State.
type referenceModel struct {
	revision keyvalue.Revision
	pairs    map[string]keyvalue.KeyValue
}

// apply applies a transaction to the model and reports whether its compares were
// true.
func (m *referenceModel) apply(transaction keyvalue.Transaction) bool {
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

// drawTransaction draws a transaction with writes of distinct keys and compares
// of which most are true.
func drawTransaction(t *rapid.T, m *referenceModel) keyvalue.Transaction {
	var transaction keyvalue.Transaction
	for _, key := range rapid.SliceOfNDistinct(rapid.SampledFrom(keys), 0, 2, rapid.ID).Draw(t, "compared") {
		expected := m.pairs[key].ModRevision
		if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
			expected = keyvalue.Revision(rapid.Int64Range(0, int64(m.revision)+1).Draw(t, "expected"))
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

// Random transactions must give the same results and contents as the reference
// model, and a replay of the watch history must give the final contents.
func TestTransactionsMatchReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := standin.NewState(standin.Config{})
		m := &referenceModel{revision: 1, pairs: map[string]keyvalue.KeyValue{}}
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

// mustWrite writes a key under a lease, or none if it is zero, and returns the
// revision.
func mustWrite(t *testing.T, state *standin.State, now time.Time, key string, lease int64) keyvalue.Revision {
	t.Helper()
	result, err := state.Txn(now, keyvalue.Transaction{Operations: []keyvalue.Operation{{Key: key, Value: []byte("v"), Lease: lease}}})
	if err != nil {
		t.Fatal(err)
	}
	return result.Revision
}

// A kept-alive lease must keep its key; an expired lease must delete it with an
// event for watches, and must not be revived by a late keep-alive.
func TestLeaseExpiresUnlessKeptAlive(t *testing.T) {
	state := standin.NewState(standin.Config{})
	lease := state.Grant(epoch, 10*time.Second)
	mustWrite(t, state, epoch, "/held", lease)
	if _, err := state.KeepAlive(epoch.Add(9*time.Second), lease); err != nil {
		t.Fatal(err)
	}
	if pairs, _ := state.Range(epoch.Add(18*time.Second), "/"); len(pairs) != 1 {
		t.Fatalf("the lease expired despite its keep-alive: %+v", pairs)
	}
	before := state.Revision()
	if pairs, _ := state.Range(epoch.Add(19*time.Second), "/"); len(pairs) != 0 {
		t.Fatalf("the expired lease kept its key: %+v", pairs)
	}
	if _, err := state.KeepAlive(epoch.Add(19*time.Second), lease); !errors.Is(err, keyvalue.ErrLeaseNotFound) {
		t.Fatalf("keep-alive after the expiry: %v", err)
	}
	batch := state.EventsSince(epoch.Add(19*time.Second), "/", before+1)
	if len(batch.Events) != 1 || !batch.Events[0].Deleted {
		t.Fatalf("events of the expiry: %+v", batch)
	}
}

// A key belongs to the lease of its last write. One that was written again
// without a lease must not be deleted when the old lease expires.
func TestKeyRewrittenWithoutLeaseOutlivesLease(t *testing.T) {
	state := standin.NewState(standin.Config{})
	lease := state.Grant(epoch, time.Second)
	mustWrite(t, state, epoch, "/a", lease)
	mustWrite(t, state, epoch, "/a", 0)
	if pairs, _ := state.Range(epoch.Add(time.Hour), "/"); len(pairs) != 1 {
		t.Fatalf("contents %+v", pairs)
	}
}

// A watch from a compacted revision must be told so; one from the compacted
// revision itself must get every event from there on.
func TestEventsBeforeCompactedRevisionAreGone(t *testing.T) {
	state := standin.NewState(standin.Config{HistoryLength: 4})
	for range 20 {
		mustWrite(t, state, epoch, "/a", 0)
	}
	if batch := state.EventsSince(epoch, "/", 2); !batch.Compacted || batch.Revision != state.CompactedRevision() {
		t.Fatalf("watch from a compacted revision: %+v", batch)
	}
	from := state.CompactedRevision()
	batch := state.EventsSince(epoch, "/", from)
	if batch.Compacted || keyvalue.Revision(len(batch.Events)) != state.Revision()-from+1 {
		t.Fatalf("watch from %d at %d: %+v", from, state.Revision(), batch)
	}
}

// An invalid operation must fail the whole transaction with etcd's error; a
// partial write would break the atomicity that callers rely on.
func TestInvalidTransactionsChangeNothing(t *testing.T) {
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

// Each compare target must use its own revision or version, and each result its
// own relation.
func TestCompareEvaluatesTargetAndResult(t *testing.T) {
	state := standin.NewState(standin.Config{})
	mustWrite(t, state, epoch, "/a", 0) // create revision 2
	mustWrite(t, state, epoch, "/a", 0) // mod revision 3, version 2
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
