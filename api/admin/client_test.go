package admin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/valveslip/valveslip/settings"
)

// TestTheClientSettlesLostAnswers cuts the connection after each of the first
// answers to an edit.
func TestTheClientSettlesLostAnswers(t *testing.T) {
	for lost, settled := range map[int]bool{0: true, 1: true, editAttempts - 1: true, editAttempts: false} {
		h := newHarness(t, twoTeams)
		given := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				h.handler.ServeHTTP(w, r)
				return
			}
			if given++; given <= lost {
				h.handler.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
			h.handler.ServeHTTP(w, r)
		}))
		client := &Client{URL: server.URL, Token: secretOf("root"), RetryWait: 1}
		entry, err := client.Edit(context.Background(), EditRequest{ID: "e", Changes: []settings.Change{set("/dental", "priority", "2")}}, Stamp{Revision: 1})
		var failed *RequestError
		if settled && (err != nil || entry.Revision != 2) || !settled && !(errors.As(err, &failed) && failed.Verdict == "may-have-run") {
			t.Errorf("%d answers lost: revision %d, %v", lost, entry.Revision, err)
		}
		if entries, _ := h.store.EntriesAfter(context.Background(), 1); len(entries) != 1 {
			t.Errorf("%d answers lost: %d edits in the history", lost, len(entries))
		}
		server.Close()
	}
}

func TestTheClientReadsAllPages(t *testing.T) {
	h := newHarness(t, twoTeams)
	server := httptest.NewServer(h.handler)
	defer server.Close()
	client := &Client{URL: server.URL, Token: secretOf("chief")}
	levels, stamp, err := client.Tree(context.Background(), "", true)
	if err != nil || len(levels) != 3 || stamp.Revision != 1 {
		t.Errorf("read %d levels at %+v: %v", len(levels), stamp, err)
	}
	if _, err := client.FindEdit(context.Background(), "none"); err == nil {
		t.Error("an edit was found that nobody made")
	}
}
