package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/go-chi/chi/v5"

	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// EditRequest is the body of an edit.
type EditRequest struct {
	// ID is chosen by the writer; giving the same edit again has no further
	// effect.
	ID      string            `json:"id"`
	Message string            `json:"message"`
	Changes []settings.Change `json:"changes"`
}

// postEdit commits an edit, or says what it would do.
func (s *server) postEdit(w http.ResponseWriter, r *http.Request) {
	edit, failed := s.readEdit(w, r)
	if failed != nil {
		writeVerdict(w, failed)
		return
	}
	tree, err := s.loadWhole(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	if failed := authorizeEdit(tokenOf(r), tree, edit.Changes); failed != nil {
		s.Logger.Warn("edit refused", "event", "edit_refused", "edit", edit.ID, "author", edit.Author, "reason", failed.Message)
		writeVerdict(w, failed)
		return
	}
	if r.URL.Query().Get("dry_run") == "true" {
		s.dryRun(w, r, tree, edit)
		return
	}
	entry, err := s.Store.Commit(r.Context(), edit)
	if err != nil {
		s.Logger.Warn("edit refused", "event", "edit_refused", "edit", edit.ID, "author", edit.Author, "reason", err.Error())
		s.writeEditError(w, r, edit.ID, err)
		return
	}
	s.Logger.Info("edit accepted", "event", "edit_accepted", "edit", edit.ID, "author", entry.Edit.Author, "revision", entry.Revision, "paths", changedPaths(entry.Edit.Changes))
	entry, _ = visibleEntry(tokenOf(r), entry)
	w.Header().Set("ETag", entityTag(entry.Revision, edit.BaseHistory))
	w.Header().Set("Location", settlePath(edit.ID))
	writeJSON(w, http.StatusCreated, entry)
}

// loadWhole reads the stored tree to edit it. When the key-value service lost
// accepted edits that are in force here, they are stored again first.
func (s *server) loadWhole(ctx context.Context) (*settings.Tree, error) {
	stored, stamp, err := s.Store.Load(ctx)
	if err != nil {
		return nil, err
	}
	tree, snapshot := s.Backend.Settings()
	if snapshot == nil || !stamp.Behind(snapshot.Stamp) {
		return stored, nil
	}
	s.Logger.Error("stored settings fell back", "event", "settings_fell_back", "stored", stamp.Revision, "in_force", snapshot.Stamp.Revision)
	if err := s.Store.Restore(ctx, tree, snapshot.Stamp); err != nil {
		return nil, err
	}
	stored, _, err = s.Store.Load(ctx)
	return stored, err
}

// changedPaths names the changed levels for the log.
func changedPaths(changes []settings.Change) string {
	paths := make([]string, len(changes))
	for i := range changes {
		paths[i] = changes[i].Path
	}
	return strings.Join(slices.Compact(paths), ",")
}

// readEdit reads the body and the revision in If-Match.
func (s *server) readEdit(w http.ResponseWriter, r *http.Request) (settings.Edit, *verdict.Error) {
	base, history, failed := ifMatch(r.Header.Get("If-Match"))
	if failed != nil {
		return settings.Edit{}, failed
	}
	var body EditRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxEditBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return settings.Edit{}, verdict.New(verdict.NotRun, verdict.CodeRequestTooLarge, "an edit takes %d bytes at most", maxEditBytes)
		}
		return settings.Edit{}, badRequest("the edit is not readable: %s", err)
	}
	token := tokenOf(r)
	return settings.Edit{
		ID: body.ID, Author: token.Name + "@" + token.Path, Message: body.Message,
		At: s.Now().UTC(), BaseHistory: history, BaseRevision: base, Changes: body.Changes,
	}, nil
}

// entityTag names a revision of a history.
func entityTag(revision int64, history string) string {
	return fmt.Sprintf(`"%d.%s"`, revision, history)
}

// ifMatch reads the revision that an edit is based on, and its history unless
// only the revision is given.
func ifMatch(field string) (revision int64, history string, failed *verdict.Error) {
	if field == "" {
		return 0, "", badRequest("an edit wants If-Match with the revision it is based on, 0 for the first of all")
	}
	text, history, _ := strings.Cut(strings.Trim(strings.TrimPrefix(field, "W/"), `"`), ".")
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return 0, "", badRequest("If-Match wants one revision, got %s", field)
	}
	return revision, history, nil
}

// settlePath is where the outcome of an edit can be read.
func settlePath(id string) string { return Prefix + "/tree/edits/" + url.PathEscape(id) }

// writeEditError answers an edit that was not accepted, or may have been.
func (s *server) writeEditError(w http.ResponseWriter, r *http.Request, id string, err error) {
	var (
		problems   settings.ValidationErrors
		conflict   *settings.ConflictError
		classified *verdict.Error
	)
	object := Failure{Code: verdict.CodeInvalidRequest, Message: "the edit is not valid", Verdict: verdict.NotRun.String()}
	switch {
	case errors.As(err, &problems):
		object.Problems = visibleProblems(tokenOf(r), problems)
		writeFailure(w, http.StatusUnprocessableEntity, object, 0)
	case errors.As(err, &conflict):
		object.Code, object.Message = verdict.CodeConflict, conflict.Error()
		object.Conflicts, object.CurrentRevision = conflict.Conflicts, conflict.Current
		writeFailure(w, http.StatusConflict, object, 0)
	case errors.As(err, &classified):
		object.Code, object.Message, object.Verdict = classified.Code, classified.Message, classified.Verdict.String()
		if classified.Verdict != verdict.NotRun {
			object.Settle = settlePath(id)
		}
		writeFailure(w, statusOf(classified.Code), object, max(classified.RetryAfter, retryUnavailable))
	default:
		s.Logger.Error("edit failed", "event", "edit_failed", "edit", id, "error", err.Error())
		object.Code, object.Message = verdict.CodeInternal, "the edit failed; the node's log says why"
		object.Verdict, object.Settle = verdict.MayHaveRun.String(), settlePath(id)
		writeFailure(w, http.StatusInternalServerError, object, 0)
	}
}

// getEdit tells whether an edit took effect.
func (s *server) getEdit(w http.ResponseWriter, r *http.Request) {
	id, err := url.PathUnescape(chi.URLParam(r, "id"))
	if err != nil {
		writeVerdict(w, badRequest("the edit id is not readable"))
		return
	}
	entry, found, err := s.Store.Find(r.Context(), id)
	if err != nil {
		writeError(w, err)
		return
	}
	entry, visible := visibleEntry(tokenOf(r), entry)
	if !found || !visible {
		writeFailure(w, http.StatusNotFound, Failure{Code: codeNotFound, Verdict: verdict.NotRun.String(),
			Message: "no edit with this id is in the kept history"}, 0)
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

// HistoryPage is a page of the history, newest first.
type HistoryPage struct {
	Entries []settings.Entry `json:"entries"`
	// Next is the value of "before" for the next page, zero on the last.
	Next int64 `json:"next,omitempty"`
}

// getHistory answers with accepted edits, newest first.
func (s *server) getHistory(w http.ResponseWriter, r *http.Request) {
	before, failed := revisionParameter(r, "before", 0)
	limit, failedLimit := limitParameter(r)
	if failed == nil {
		failed = failedLimit
	}
	if failed != nil {
		writeVerdict(w, failed)
		return
	}
	entries, err := s.Store.EntriesAfter(r.Context(), 0)
	if err != nil {
		writeError(w, err)
		return
	}
	view := HistoryPage{Entries: []settings.Entry{}}
	for i := len(entries) - 1; i >= 0; i-- {
		entry, visible := visibleEntry(tokenOf(r), entries[i])
		if !visible || before > 0 && entry.Revision >= before {
			continue
		}
		if len(view.Entries) == limit {
			view.Next = view.Entries[limit-1].Revision
			break
		}
		view.Entries = append(view.Entries, entry)
	}
	writeJSON(w, http.StatusOK, view)
}

// revisionParameter reads a revision from the query.
func revisionParameter(r *http.Request, name string, absent int64) (int64, *verdict.Error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return absent, nil
	}
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision < 0 {
		return 0, badRequest("%s wants a revision, got %q", name, text)
	}
	return revision, nil
}

// Difference is what changed between two revisions.
type Difference struct {
	From    int64             `json:"from"`
	To      int64             `json:"to"`
	Changes []settings.Change `json:"changes"`
}

// getDiff answers with the changes between two revisions of the kept history.
func (s *server) getDiff(w http.ResponseWriter, r *http.Request) {
	_, stamp, err := s.Store.Load(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	to, failed := revisionParameter(r, "to", stamp.Revision)
	from, failedFrom := revisionParameter(r, "from", max(0, to-1))
	if failed == nil {
		failed = failedFrom
	}
	if failed != nil {
		writeVerdict(w, failed)
		return
	}
	before, err := s.Store.TreeAt(r.Context(), from)
	if err != nil {
		writeError(w, err)
		return
	}
	after, err := s.Store.TreeAt(r.Context(), to)
	if err != nil {
		writeError(w, err)
		return
	}
	changes := visibleChanges(tokenOf(r), after.Diff(before))
	writeJSON(w, http.StatusOK, Difference{From: from, To: to, Changes: changes})
}
