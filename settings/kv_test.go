package settings

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/valveslip/valveslip/keyvalue"
	"github.com/valveslip/valveslip/verdict"
)

// memoryKV is an in-memory key-value service. It implements Range and Txn only.
type memoryKV struct {
	mutex    sync.Mutex
	revision int64
	pairs    map[string]keyvalue.KeyValue
	// faultFor returns the fault to inject into the n-th transaction.
	faultFor     func(n int) kvFault
	transactions int
	// writtenBytes and writtenKeys describe the last successful transaction.
	writtenBytes, writtenKeys int
	largestValue              int
	// batches holds the events of each successful transaction.
	batches [][]keyvalue.Event
}

type kvFault uint8

const (
	noFault kvFault = iota
	faultRefused
	faultLostBeforeApply // the request is lost; the transaction has no effect
	faultLostAfterApply  // the response is lost after the transaction took effect
)

func newMemoryKV() *memoryKV { return &memoryKV{pairs: map[string]keyvalue.KeyValue{}} }

func (m *memoryKV) Range(_ context.Context, prefix string) ([]keyvalue.KeyValue, keyvalue.Revision, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var found []keyvalue.KeyValue
	for key, pair := range m.pairs {
		if strings.HasPrefix(key, prefix) {
			found = append(found, pair)
		}
	}
	slices.SortFunc(found, func(a, b keyvalue.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return found, keyvalue.Revision(m.revision), nil
}

func (m *memoryKV) Txn(_ context.Context, transaction keyvalue.Transaction) (keyvalue.TransactionResult, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	fault := noFault
	if m.transactions++; m.faultFor != nil {
		fault = m.faultFor(m.transactions)
	}
	lostResponse := verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the response was lost")
	switch fault {
	case faultRefused:
		return keyvalue.TransactionResult{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "too many requests")
	case faultLostBeforeApply:
		return keyvalue.TransactionResult{}, lostResponse
	}
	for _, compare := range transaction.Compares {
		if m.pairs[compare.Key].ModRevision != compare.ModRevision {
			return keyvalue.TransactionResult{Revision: keyvalue.Revision(m.revision)}, nil
		}
	}
	m.write(transaction.Operations)
	if fault == faultLostAfterApply {
		return keyvalue.TransactionResult{}, lostResponse
	}
	return keyvalue.TransactionResult{Succeeded: true, Revision: keyvalue.Revision(m.revision)}, nil
}

func (m *memoryKV) write(operations []keyvalue.Operation) {
	m.revision++
	m.writtenBytes, m.writtenKeys = 0, len(operations)
	var batch []keyvalue.Event
	for _, operation := range operations {
		m.writtenBytes += len(operation.Value)
		m.largestValue = max(m.largestValue, len(operation.Value))
		pair := keyvalue.KeyValue{Key: operation.Key, Value: operation.Value, ModRevision: keyvalue.Revision(m.revision)}
		batch = append(batch, keyvalue.Event{KeyValue: pair, Deleted: operation.Delete})
		if operation.Delete {
			delete(m.pairs, operation.Key)
			continue
		}
		m.pairs[operation.Key] = pair
	}
	m.batches = append(m.batches, batch)
}

var errUnused = errors.New("operation not implemented by memoryKV")

func (m *memoryKV) Grant(context.Context, time.Duration) (int64, error) { return 0, errUnused }
func (m *memoryKV) KeepAlive(context.Context, int64) (time.Duration, error) {
	return 0, errUnused
}
func (m *memoryKV) Revoke(context.Context, int64) error { return errUnused }
func (m *memoryKV) Watch(context.Context, string, keyvalue.Revision, func(keyvalue.WatchBatch)) error {
	return errUnused
}
