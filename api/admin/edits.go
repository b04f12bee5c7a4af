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

// EditRequest is the request body of an edit.
type EditRequest struct {
	// ID is chosen by the client and makes the edit idempotent: sending the same
	// edit again has no further effect.
	ID      string            `json:"id"`
	Message string            `json:"message"`
	Changes []settings.Change `json:"changes"`
}

// postEdit handles POST /tree/edits: it commits an edit, or with dry_run=true
// responds with the effects that the edit would have.
func (s *server) postEdit(w http.ResponseWriter, r *http.Request) {
	edit, verdictErr := s.readEdit(w, r)
	if verdictErr != nil {
		writeVerdict(w, verdictErr)
		return
	}
	tree, err := s.loadForEdit(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	if verdictErr := authorizeEdit(requestToken(r), tree, edit.Changes); verdictErr != nil {
		s.Logger.Warn("settings edit refused: not authorized", "event", "edit_refused", "edit", edit.ID, "author", edit.Author, "reason", verdictErr.Message)
		writeVerdict(w, verdictErr)
		return
	}
	if r.URL.Query().Get("dry_run") == "true" {
		s.dryRun(w, r, tree, edit)
		return
	}
	entry, err := s.Store.Commit(r.Context(), edit)
	if err != nil {
		s.Logger.Warn("settings edit not committed", "event", "edit_refused", "edit", edit.ID, "author", edit.Author, "reason", err.Error())
		s.writeEditError(w, r, edit.ID, err)
		return
	}
	s.Logger.Info("settings edit committed", "event", "edit_accepted", "edit", edit.ID, "author", entry.Edit.Author, "revision", entry.Revision, "paths", changedPaths(entry.Edit.Changes))
	entry, _ = visibleEntry(requestToken(r), entry)
	w.Header().Set("ETag", entityTag(entry.Revision, edit.BaseHistory))
	w.Header().Set("Location", editOutcomePath(edit.ID))
	writeJSON(w, http.StatusCreated, entry)
}

// loadForEdit returns the stored tree that an edit applies to. If the key-value
// service has lost accepted edits that are in force on this node, it first
// restores the tree in force.
func (s *server) loadForEdit(ctx context.Context) (*settings.Tree, error) {
	stored, stamp, err := s.Store.Load(ctx)
	if err != nil {
		return nil, err
	}
	tree, snapshot := s.Backend.Settings()
	if snapshot == nil || !stamp.Behind(snapshot.Stamp) {
		return stored, nil
	}
	s.Logger.Error("stored settings are older than the settings in force on this node; restoring the latter", "event", "settings_fell_back", "stored", stamp.Revision, "in_force", snapshot.Stamp.Revision)
	if err := s.Store.Restore(ctx, tree, snapshot.Stamp); err != nil {
		return nil, err
	}
	stored, _, err = s.Store.Load(ctx)
	return stored, err
}

// changedPaths returns the paths of the changed levels, separated by commas, for
// the log.
func changedPaths(changes []settings.Change) string {
	paths := make([]string, len(changes))
	for i := range changes {
		paths[i] = changes[i].Path
	}
	return strings.Join(slices.Compact(paths), ",")
}

// readEdit parses an edit from the request body and the If-Match header. The
// author is the request's token.
func (s *server) readEdit(w http.ResponseWriter, r *http.Request) (settings.Edit, *verdict.Error) {
	base, history, verdictErr := parseIfMatch(r.Header.Get("If-Match"))
	if verdictErr != nil {
		return settings.Edit{}, verdictErr
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
	token := requestToken(r)
	return settings.Edit{
		ID: body.ID, Author: token.Name + "@" + token.Path, Message: body.Message,
		At: s.Now().UTC(), BaseHistory: history, BaseRevision: base, Changes: body.Changes,
	}, nil
}

// entityTag returns the entity tag of a revision of a history.
func entityTag(revision int64, history string) string {
	return fmt.Sprintf(`"%d.%s"`, revision, history)
}

// parseIfMatch parses the If-Match header of an edit: the revision that the edit
// is based on, and its history, which is empty if the header has only a revision.
func parseIfMatch(field string) (revision int64, history string, verdictErr *verdict.Error) {
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

// editOutcomePath returns the path at which the outcome of an edit can be read.
func editOutcomePath(id string) string { return Prefix + "/tree/edits/" + url.PathEscape(id) }

// writeEditError responds to an edit that failed: it was rejected, or its outcome
// is unknown.
func (s *server) writeEditError(w http.ResponseWriter, r *http.Request, id string, err error) {
	var (
		problems   settings.ValidationErrors
		conflict   *settings.ConflictError
		verdictErr *verdict.Error
	)
	failure := Failure{Code: verdict.CodeInvalidRequest, Message: "the edit is not valid", Verdict: verdict.NotRun.String()}
	switch {
	case errors.As(err, &problems):
		failure.Problems = visibleProblems(requestToken(r), problems)
		writeFailure(w, http.StatusUnprocessableEntity, failure, 0)
	case errors.As(err, &conflict):
		failure.Code, failure.Message = verdict.CodeConflict, conflict.Error()
		failure.Conflicts, failure.CurrentRevision = conflict.Conflicts, conflict.Current
		writeFailure(w, http.StatusConflict, failure, 0)
	case errors.As(err, &verdictErr):
		failure.Code, failure.Message, failure.Verdict = verdictErr.Code, verdictErr.Message, verdictErr.Verdict.String()
		if verdictErr.Verdict != verdict.NotRun {
			failure.OutcomePath = editOutcomePath(id)
		}
		writeFailure(w, httpStatus(verdictErr.Code), failure, max(verdictErr.RetryAfter, unavailableRetryAfter))
	default:
		s.Logger.Error("settings edit failed with an unexpected error", "event", "edit_failed", "edit", id, "error", err.Error())
		failure.Code, failure.Message = verdict.CodeInternal, "the edit failed; the node's log says why"
		failure.Verdict, failure.OutcomePath = verdict.MayHaveRun.String(), editOutcomePath(id)
		writeFailure(w, http.StatusInternalServerError, failure, 0)
	}
}

// getEdit handles GET /tree/edits/{id}: it responds with the history entry of an
// accepted edit, so that a client can resolve an unknown outcome.
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
	entry, visible := visibleEntry(requestToken(r), entry)
	if !found || !visible {
		writeFailure(w, http.StatusNotFound, Failure{Code: codeNotFound, Verdict: verdict.NotRun.String(),
			Message: "no edit with this id is in the kept history"}, 0)
		return
	}
	writeJSON(w, http.StatusOK, entry)
}

// HistoryPage is a page of the history of accepted edits, newest first.
type HistoryPage struct {
	Entries []settings.Entry `json:"entries"`
	// Next is the value of "before" for the next page, zero on the last page.
	Next int64 `json:"next,omitempty"`
}

// getHistory handles GET /tree/history: it responds with a page of the accepted
// edits that the token may see, newest first.
func (s *server) getHistory(w http.ResponseWriter, r *http.Request) {
	before, verdictErr := revisionParameter(r, "before", 0)
	limit, limitErr := limitParameter(r)
	if verdictErr == nil {
		verdictErr = limitErr
	}
	if verdictErr != nil {
		writeVerdict(w, verdictErr)
		return
	}
	entries, err := s.Store.EntriesAfter(r.Context(), 0)
	if err != nil {
		writeError(w, err)
		return
	}
	view := HistoryPage{Entries: []settings.Entry{}}
	for i := len(entries) - 1; i >= 0; i-- {
		entry, visible := visibleEntry(requestToken(r), entries[i])
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

// revisionParameter parses a revision from a query parameter; absent is the
// result if the parameter is missing.
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

// Difference holds the changes between two revisions.
type Difference struct {
	From    int64             `json:"from"`
	To      int64             `json:"to"`
	Changes []settings.Change `json:"changes"`
}

// getDiff handles GET /tree/diff: it responds with the changes between two
// revisions of the retained history. The default is the newest revision and the
// one before it.
func (s *server) getDiff(w http.ResponseWriter, r *http.Request) {
	_, stamp, err := s.Store.Load(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	to, verdictErr := revisionParameter(r, "to", stamp.Revision)
	from, fromErr := revisionParameter(r, "from", max(0, to-1))
	if verdictErr == nil {
		verdictErr = fromErr
	}
	if verdictErr != nil {
		writeVerdict(w, verdictErr)
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
	changes := visibleChanges(requestToken(r), after.Diff(before))
	writeJSON(w, http.StatusOK, Difference{From: from, To: to, Changes: changes})
}
