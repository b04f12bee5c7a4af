package admin

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/valveslip/valveslip/settings"
)

// TestClientRetriesEditAfterLostResponses guards against a client that gives up on an
// edit of unknown outcome, retries it without bound or commits it twice. The server
// closes the connection instead of sending the first responses to an edit.
func TestClientRetriesEditAfterLostResponses(t *testing.T) {
	for lost, wantSuccess := range map[int]bool{0: true, 1: true, maxEditAttempts - 1: true, maxEditAttempts: false} {
		h := newHarness(t, twoTeamsYAML)
		edits := 0
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method != http.MethodPost {
				h.handler.ServeHTTP(w, r)
				return
			}
			if edits++; edits <= lost {
				h.handler.ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			}
			h.handler.ServeHTTP(w, r)
		}))
		client := &Client{URL: server.URL, Token: testSecret("root"), RetryWait: 1}
		entry, err := client.Edit(context.Background(), EditRequest{ID: "e", Changes: []settings.Change{setChange("/dental", "priority", "2")}}, Stamp{Revision: 1})
		var requestErr *RequestError
		if wantSuccess && (err != nil || entry.Revision != 2) || !wantSuccess && !(errors.As(err, &requestErr) && requestErr.Verdict == "may-have-run") {
			t.Errorf("%d responses lost: revision %d, error %v", lost, entry.Revision, err)
		}
		if entries, _ := h.store.EntriesAfter(context.Background(), 1); len(entries) != 1 {
			t.Errorf("%d responses lost: %d edits in the history, want 1", lost, len(entries))
		}
		server.Close()
	}
}

// TestClientReadsTreeAndReportsMissingEdit guards against levels that the client drops
// when it assembles the pages of a tree, and against an edit that it finds by a wrong id.
func TestClientReadsTreeAndReportsMissingEdit(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	server := httptest.NewServer(h.handler)
	defer server.Close()
	client := &Client{URL: server.URL, Token: testSecret("chief")}
	levels, stamp, err := client.Tree(context.Background(), "", true)
	if err != nil || len(levels) != 3 || stamp.Revision != 1 {
		t.Errorf("read %d levels at %+v: %v", len(levels), stamp, err)
	}
	if _, err := client.FindEdit(context.Background(), "none"); err == nil {
		t.Error("FindEdit found an edit that was never made")
	}
}
