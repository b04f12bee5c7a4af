package demo

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/standin/fault"
)

const (
	writerCount           = 8
	editsPerWriter        = 63
	lostAnswerProbability = 0.1
	maxAttempts           = 200
	contestedPath         = "/dental/assistant"
)

// Eight writers commit 504 edits through the administration APIs of three nodes,
// half of them to one path, while the key-value service loses one answer in ten
// after it applied the transaction. Guards against edits that are lost, applied
// twice, out of revision order or not in force on every node.
func TestConcurrentEditsAreCommittedExactlyOnce(t *testing.T) {
	t.Parallel()
	running, err := Start(t.Context(), slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	running.platform.keyValue.Inject(fault.Order{Kind: fault.KindLoseAnswer, Probability: lostAnswerProbability})
	var (
		writers  sync.WaitGroup
		mutex    sync.Mutex
		accepted = map[string]int64{}
	)
	for number := range writerCount {
		writers.Go(func() {
			writer := editWriter{client: running.adminClient(number), number: number, models: running.models}
			for i := range editsPerWriter {
				id, revision, err := writer.edit(t.Context(), i)
				if err != nil {
					t.Errorf("writer %d, edit %d: %v", number, i, err)
					return
				}
				mutex.Lock()
				accepted[id] = revision
				mutex.Unlock()
			}
		})
	}
	writers.Wait()
	running.platform.keyValue.Inject(fault.Order{Kind: fault.KindClear})
	last := checkHistory(t, running.adminClient(0), accepted)
	running.checkInForce(t, last)
	if err := running.Stop(); err != nil {
		t.Fatal(err)
	}
}

// adminClient returns a client of one of the nodes.
func (d *Demo) adminClient(number int) *admin.Client {
	addresses := d.Addresses()
	return &admin.Client{
		URL: addresses.Admin[number%len(addresses.Admin)], Token: addresses.AdminToken,
		RetryWait: 10 * time.Millisecond,
	}
}

// editWriter commits edits as one operator.
type editWriter struct {
	client *admin.Client
	number int
	models modelSet
}

// edit commits one edit and returns its ID and revision. After a conflict it
// reads the tree again and commits the edit under a new ID. After an unknown
// outcome it sends the edit again under the same ID.
func (w *editWriter) edit(ctx context.Context, index int) (string, int64, error) {
	path := contestedPath
	if index%2 == 1 {
		path += "/" + w.models.Assistants[w.number]
	}
	var last error
	for attempt := range maxAttempts {
		_, base, err := w.client.Tree(ctx, contestedPath, true)
		if err != nil {
			last = err
			continue
		}
		request := admin.EditRequest{
			ID:      fmt.Sprintf("writer-%d-edit-%d-attempt-%d", w.number, index, attempt),
			Message: "race",
			Changes: []settings.Change{{Path: path, Set: map[string]settings.Value{
				"keep_alive": settings.Value(fmt.Sprintf("%q", fmt.Sprintf("%ds", 100+w.number*editsPerWriter+index))),
			}}},
		}
		entry, err := w.commitUntilKnown(ctx, request, base)
		if err == nil {
			return request.ID, entry.Revision, nil
		}
		last = err
		var failed *admin.RequestError
		if !errors.As(err, &failed) || failed.Status != http.StatusConflict {
			return "", 0, err
		}
	}
	return "", 0, last
}

// commitUntilKnown sends an edit until its outcome is known.
func (w *editWriter) commitUntilKnown(ctx context.Context, request admin.EditRequest, base admin.Stamp) (settings.Entry, error) {
	var last error
	for range maxAttempts {
		entry, err := w.client.Edit(ctx, request, base)
		var failed *admin.RequestError
		if err == nil || errors.As(err, &failed) && failed.Status != http.StatusServiceUnavailable {
			return entry, err
		}
		last = err
	}
	return settings.Entry{}, last
}

// checkHistory checks that the history has every accepted edit exactly once and
// returns the newest revision.
func checkHistory(t *testing.T, client *admin.Client, accepted map[string]int64) int64 {
	t.Helper()
	seen := map[string]int64{}
	var newest, before int64
	for {
		page, err := client.History(t.Context(), before, 100)
		if err != nil {
			t.Fatal(err)
		}
		for _, entry := range page.Entries {
			if newest == 0 {
				newest = entry.Revision
			}
			if before != 0 && entry.Revision != before-1 {
				t.Errorf("revision %d follows %d in the history", before, entry.Revision)
			}
			before = entry.Revision
			if other, twice := seen[entry.Edit.ID]; twice {
				t.Errorf("edit %s stands at revisions %d and %d", entry.Edit.ID, entry.Revision, other)
			}
			seen[entry.Edit.ID] = entry.Revision
		}
		if page.Next == 0 {
			break
		}
		before = page.Next
	}
	for id, revision := range accepted {
		if seen[id] != revision {
			t.Errorf("edit %s was accepted as revision %d, the history has %d", id, revision, seen[id])
		}
	}
	if len(accepted) != writerCount*editsPerWriter || newest != int64(len(accepted))+1 {
		t.Errorf("%d accepted edits lead to revision %d", len(accepted), newest)
	}
	return newest
}

// maxInForcePolls bounds the wait for a revision on each node.
const maxInForcePolls = 1500

// checkInForce waits until every node has the revision in force and checks that
// all nodes have the same stamp.
func (d *Demo) checkInForce(t *testing.T, revision int64) {
	t.Helper()
	want := settings.Stamp{}
	for i, started := range d.nodes {
		polls := 0
		for started.Settings().Stamp.Revision < revision && polls < maxInForcePolls {
			time.Sleep(20 * time.Millisecond)
			polls++
		}
		stamp := started.Settings().Stamp
		if i == 0 {
			want = stamp
		}
		if stamp.Revision != revision || stamp != want {
			t.Errorf("node %d has %+v, want revision %d as %+v", i, stamp, revision, want)
		}
	}
}
