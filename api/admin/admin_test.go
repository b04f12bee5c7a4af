package admin

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/getkin/kin-openapi/openapi3"
	"github.com/go-chi/chi/v5"
	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// twoTeamsYAML is a settings tree with a shared model and two teams. A placeholder
// such as %root% stands for the hash of a token's secret, see newHarness.
const twoTeamsYAML = `
keep_alive: 15m
tokens:
  - {name: root, sha256: "%root%", role: administer}
children:
  shared: {kind: model, memory: 16GiB}
  dental:
    kind: team
    max_concurrency: 20
    max_replicas: 4
    priority: 5
    tokens:
      - {name: reader, sha256: "%reader%", role: read}
      - {name: editor, sha256: "%editor%", role: edit}
      - {name: chief, sha256: "%chief%", role: administer}
      - {name: caller, sha256: "%caller%", role: call}
      - {name: ended, sha256: "%ended%", role: read, not_after: 2026-03-01}
    children:
      letters: {kind: adapter, base: shared, keep_alive: 10m}
      parents: {kind: model}
  zebra:
    kind: team
    tokens:
      - {name: zebra-editor, sha256: "%zebra-editor%", role: edit}
    children:
      zebra-reader: {kind: model}
      zebra-ledger: {kind: adapter, base: zebra-reader}
`

// TestOpenAPIDescriptionListsExactlyServedRoutes guards against a route that is added
// or removed without its OpenAPI description.
func TestOpenAPIDescriptionListsExactlyServedRoutes(t *testing.T) {
	document, err := openapi3.NewLoader().LoadFromData(openAPIDescription)
	if err != nil {
		t.Fatal(err)
	}
	if err := document.Validate(context.Background()); err != nil {
		t.Fatal(err)
	}
	var described, served []string
	for path, item := range document.Paths.Map() {
		for method := range item.Operations() {
			described = append(described, method+" "+path)
		}
	}
	err = chi.Walk(newRouter(Config{}), func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
		if strings.HasPrefix(route, Prefix) {
			served = append(served, method+" "+route)
		}
		return nil
	})
	slices.Sort(described)
	slices.Sort(served)
	if err != nil || !slices.Equal(described, served) {
		t.Fatalf("described %v\nserved    %v: %v", described, served, err)
	}
}

// TestAPIServesFullPathsBelowOuterRouter guards against chi's routing context of an
// outer router, which would make the API match a path without the mount point.
func TestAPIServesFullPathsBelowOuterRouter(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	outer := chi.NewRouter()
	outer.Mount("/admin", h.handler)
	h.handler = outer
	h.get("root", "/tree").want(http.StatusOK, nil)
}

// TestStatusPageLoadsNoExternalResources guards against external resources, inline
// scripts and inline styles in the status page's files, and against a missing
// Content-Security-Policy.
func TestStatusPageLoadsNoExternalResources(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	for path, contentType := range map[string]string{"/admin/": "text/html", "/admin/style.css": "text/css", "/admin/script.js": "text/javascript"} {
		recorder := httptest.NewRecorder()
		h.handler.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, path, nil))
		body := recorder.Body.String()
		if recorder.Code != http.StatusOK || !strings.HasPrefix(recorder.Header().Get("Content-Type"), contentType) {
			t.Errorf("%s: status %d, type %s", path, recorder.Code, recorder.Header().Get("Content-Type"))
		}
		if policy := recorder.Header().Get("Content-Security-Policy"); !strings.Contains(policy, "default-src 'none'") {
			t.Errorf("%s: policy %q", path, policy)
		}
		for _, forbiddenText := range []string{"http://", "https://", "innerHTML", "<script>", "style="} {
			if strings.Contains(body, forbiddenText) {
				t.Errorf("%s contains %q, want none", path, forbiddenText)
			}
		}
	}
}

// TestBootstrapTokenCanMakeFirstEdit guards against a new cluster that nobody can
// configure, because every other token is in the settings tree, which is still empty.
func TestBootstrapTokenCanMakeFirstEdit(t *testing.T) {
	h := newTreeHarness(t, nil)
	if code := h.get("root", "/tree").wantFailure(http.StatusServiceUnavailable).Code; code != verdict.CodeUnavailable {
		t.Fatalf("reading the tree without settings failed with the wrong code %s", code)
	}
	h.get("bootstrap", "/tree").want(http.StatusOK, nil)
	token := settings.AccessToken{Name: "root", SHA256: testSecretHash("root"), Role: settings.RoleAdminister}
	h.edit("bootstrap", "first", 0, settings.Change{Path: "/", PutTokens: []settings.AccessToken{token}}).want(http.StatusCreated, nil)
	h.applyStoredTree()
	h.get("root", "/tree").want(http.StatusOK, nil)
}

// TestRepeatedEditIsCommittedOnceAndListedInHistory guards against an edit that a retry
// commits a second time, and against wrong pages or differences of the history.
func TestRepeatedEditIsCommittedOnceAndListedInHistory(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	var entry settings.Entry
	created := h.edit("root", "e/1", 1, setChange("/dental", "keep_alive", `"30m"`)).want(http.StatusCreated, &entry)
	if entry.Revision != 2 || entry.Edit.Author != "root@/" || !entry.Edit.At.Equal(testTime) {
		t.Fatalf("entry %+v", entry)
	}
	h.get("root", strings.TrimPrefix(created.header.Get("Location"), Prefix)).want(http.StatusOK, &entry)
	h.edit("root", "e/1", 1, setChange("/dental", "keep_alive", `"30m"`)).want(http.StatusCreated, &entry)
	if entry.Revision != 2 {
		t.Fatalf("the repeated edit has revision %d, want 2 as before", entry.Revision)
	}
	h.edit("root", "e2", 2, setChange("/zebra", "priority", "3")).want(http.StatusCreated, nil)
	var history HistoryPage
	h.get("root", "/tree/history?limit=2").want(http.StatusOK, &history)
	if len(history.Entries) != 2 || history.Entries[0].Revision != 3 || history.Next != 2 {
		t.Fatalf("history %+v", history)
	}
	history = HistoryPage{}
	h.get("root", "/tree/history?before=2").want(http.StatusOK, &history)
	if len(history.Entries) != 1 || history.Entries[0].Revision != 1 {
		t.Fatalf("older history %+v", history)
	}
	var diff Difference
	h.get("root", "/tree/diff?from=1&to=3").want(http.StatusOK, &diff)
	if len(diff.Changes) != 2 || diff.Changes[0].Set["keep_alive"] != `"30m"` {
		t.Fatalf("diff %+v", diff)
	}
	h.get("root", "/tree/diff?from=9").wantFailure(http.StatusNotFound)
}

// TestRejectedEditsReportConflictsAndProblems guards against a rejected edit whose
// response lacks the status, the conflicting keys or the validation errors.
func TestRejectedEditsReportConflictsAndProblems(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	h.edit("root", "e1", 1, setChange("/dental", "keep_alive", `"30m"`)).want(http.StatusCreated, nil)
	conflict := h.edit("root", "e2", 1, setChange("/dental", "keep_alive", `"40m"`)).wantFailure(http.StatusConflict)
	if len(conflict.Conflicts) != 1 || conflict.Conflicts[0].Key != "keep_alive" || conflict.CurrentRevision != 2 {
		t.Errorf("conflict %+v", conflict)
	}
	invalid := h.edit("root", "e3", 2, setChange("/dental", "keep_alive", `"soon"`), setChange("/zebra", "memroy", `"1GiB"`)).wantFailure(http.StatusUnprocessableEntity)
	if len(invalid.Problems) != 2 || invalid.Problems[0].Path != "/dental" || invalid.Problems[1].Key != "memroy" {
		t.Errorf("problems %+v", invalid.Problems)
	}
	h.call("root", http.MethodPost, "/tree/edits", EditRequest{ID: "e4"}, "If-Match", "2.h").wantFailure(http.StatusUnprocessableEntity)
	other := EditRequest{ID: "e5", Changes: []settings.Change{setChange("/", "priority", "1")}}
	h.call("root", http.MethodPost, "/tree/edits", other, "If-Match", `"2.other"`).wantFailure(http.StatusConflict)
	h.call("root", http.MethodPost, "/tree/edits", other).wantFailure(http.StatusBadRequest)
	h.call("root", http.MethodPost, "/tree/edits", `{"id":"x","surprise":1}`, "If-Match", "2").wantFailure(http.StatusBadRequest)
	huge := EditRequest{ID: "e6", Message: strings.Repeat("x", maxEditBytes)}
	h.call("root", http.MethodPost, "/tree/edits", huge, "If-Match", "2").wantFailure(http.StatusRequestEntityTooLarge)
}

// TestEditWithLostResponseCanBeLookedUp guards against an edit of unknown outcome that
// the operator cannot resolve: the key-value service commits it, but its response is lost.
func TestEditWithLostResponseCanBeLookedUp(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	h.service.loseResponse = true
	unknown := h.edit("root", "e1", 1, setChange("/dental", "keep_alive", `"30m"`)).wantFailure(http.StatusServiceUnavailable)
	if unknown.Verdict != verdict.MayHaveRun.String() || unknown.OutcomePath != Prefix+"/tree/edits/e1" {
		t.Fatalf("failure after a lost response: %+v", unknown)
	}
	h.service.unavailable = false
	h.get("root", "/tree/edits/e1").want(http.StatusOK, nil)
	h.get("root", "/tree/edits/e9").wantFailure(http.StatusNotFound)
}

// TestEditRestoresTreeInForceWhenStoredTreeIsOlder guards against an edit that is based
// on an older tree because the key-value service lost accepted edits.
func TestEditRestoresTreeInForceWhenStoredTreeIsOlder(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	stamp := settings.Stamp{History: "h", Revision: 10, Digest: h.backend.tree.Digest()}
	inForce, err := h.backend.tree.Compile(stamp)
	if err != nil {
		t.Fatal(err)
	}
	h.backend.snapshot = inForce
	var entry settings.Entry
	h.edit("root", "e", 10, setChange("/dental", "keep_alive", `"30m"`)).want(http.StatusCreated, &entry)
	if entry.Revision != 12 {
		t.Errorf("the edit has revision %d, want 12, one after the restored tree's 11", entry.Revision)
	}
}

// TestTreeInForceIsReadableWhileServiceIsUnavailable guards against reads of the settings
// in force that need the key-value service, and against wrong sources or pages.
func TestTreeInForceIsReadableWhileServiceIsUnavailable(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	h.service.unavailable = true
	var effective EffectiveLevel
	h.get("reader", "/tree?effective=/dental/letters").want(http.StatusOK, &effective)
	sources := map[string]EffectiveValue{}
	for _, item := range effective.Values {
		sources[item.Key] = item
	}
	for key, want := range map[string]EffectiveValue{
		"keep_alive":      {Key: "keep_alive", Value: `"10m"`, Source: "/dental/letters"},
		"max_concurrency": {Key: "max_concurrency", Value: "20", Source: "/dental"},
		"memory":          {Key: "memory", Value: `"8GiB"`, Source: settings.SourceDefault},
	} {
		if sources[key] != want {
			t.Errorf("%s: %+v, want %+v", key, sources[key], want)
		}
	}
	var first, second TreePage
	h.get("root", "/tree?limit=4").want(http.StatusOK, &first)
	h.get("root", "/tree?limit=4&after="+first.Next).want(http.StatusOK, &second)
	if len(first.Levels) != 4 || second.Next != "" || len(second.Levels) != 4 {
		t.Errorf("pages of %d and %d levels", len(first.Levels), len(second.Levels))
	}
	h.get("root", "/tree?stored=true").wantFailure(http.StatusServiceUnavailable)
	h.get("root", "/tree?limit=0").wantFailure(http.StatusBadRequest)
}

// TestRequestsBeyondTokenPermissionsAreRejected guards against a token that reads or
// changes more than its role and its level permit, and against secrets in a response.
func TestRequestsBeyondTokenPermissionsAreRejected(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	newToken := settings.AccessToken{Name: "new", SHA256: testSecretHash("new"), Role: settings.RoleRead}
	for name, test := range map[string]struct {
		got    response
		status int
	}{
		"unknown token":                 {h.get("nobody", "/tree"), http.StatusUnauthorized},
		"ended token":                   {h.get("ended", "/tree"), http.StatusUnauthorized},
		"caller":                        {h.get("caller", "/tree"), http.StatusForbidden},
		"other subtree":                 {h.get("chief", "/tree?path=/zebra"), http.StatusForbidden},
		"level above":                   {h.get("chief", "/tree?effective=/"), http.StatusForbidden},
		"reader edits":                  {h.edit("reader", "e", 1, setChange("/dental/letters", "priority", "1")), http.StatusForbidden},
		"editor edits another subtree":  {h.edit("editor", "e", 1, setChange("/zebra", "priority", "1")), http.StatusForbidden},
		"editor edits above":            {h.edit("editor", "e", 1, setChange("/", "priority", "1")), http.StatusForbidden},
		"editor lifts its own limit":    {h.edit("editor", "e", 1, setChange("/dental", "max_concurrency", "900")), http.StatusForbidden},
		"chief unsets its own limit":    {h.edit("chief", "e", 1, settings.Change{Path: "/dental", Unset: []string{"max_concurrency"}}), http.StatusForbidden},
		"editor raises its priority":    {h.edit("editor", "e", 1, setChange("/dental/letters", "priority", "6")), http.StatusForbidden},
		"editor wants more replicas":    {h.edit("editor", "e", 1, setChange("/dental/parents", "max_replicas", "5")), http.StatusForbidden},
		"editor keeps replicas loaded":  {h.edit("editor", "e", 1, setChange("/dental/parents", "min_replicas", "1")), http.StatusForbidden},
		"chief lifts its own cap":       {h.edit("chief", "e", 1, setChange("/dental", "priority", "9")), http.StatusForbidden},
		"editor makes a token":          {h.edit("editor", "e", 1, settings.Change{Path: "/dental", PutTokens: []settings.AccessToken{newToken}}), http.StatusForbidden},
		"editor deletes its level":      {h.edit("editor", "e", 1, settings.Change{Path: "/dental", Delete: true}), http.StatusForbidden},
		"editor takes another's base":   {h.edit("editor", "e", 1, setChange("/dental/letters", "base", `"zebra-reader"`)), http.StatusUnprocessableEntity},
		"why of another's model":        {h.get("chief", "/why/models/zebra-reader"), http.StatusNotFound},
		"why of no model":               {h.get("chief", "/why/models/none"), http.StatusNotFound},
		"editor edits its own subtree":  {h.edit("editor", "ok", 1, setChange("/dental/letters", "priority", "1")), http.StatusCreated},
		"chief makes a token":           {h.edit("chief", "ok2", 1, settings.Change{Path: "/dental/letters", PutTokens: []settings.AccessToken{newToken}}), http.StatusCreated},
		"editor deletes another's keys": {h.edit("editor", "e", 2, settings.Change{Path: "/dental/letters", Delete: true}), http.StatusForbidden},
	} {
		if test.got.status != test.status {
			t.Errorf("%s: status %d, want %d: %s", name, test.got.status, test.status, test.got.body)
		}
		if strings.Contains(string(test.got.body), "secret-of") {
			t.Errorf("%s: the response contains a token's secret", name)
		}
	}
}

// TestTokenHashesAreVisibleOnlyToAdministrators guards against hashes of token secrets in
// responses to readers and editors.
func TestTokenHashesAreVisibleOnlyToAdministrators(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	for token, shown := range map[string]bool{"reader": false, "editor": false, "chief": true, "root": true} {
		for _, path := range []string{"/tree", "/tree/history", "/tree/diff?from=0&to=1"} {
			body := string(h.get(token, path).want(http.StatusOK, nil).body)
			if strings.Contains(body, testSecretHash("reader")) != shown {
				t.Errorf("%s with token %s: response contains the hash: %v, want %v", path, token, !shown, shown)
			}
		}
	}
}

// TestDryRunReportsEffectsWithoutCommitting guards against a dry run that misses effects
// on models and replicas, or that commits the edit.
func TestDryRunReportsEffectsWithoutCommitting(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	h.backend.replicas = []Replica{
		{Model: "parents", Machine: "m1", Zone: "east", State: "loaded"},
		{Model: "parents", Machine: "m2", Zone: "west", State: "loaded"},
		{Model: "zebra-reader", Machine: "m3", Zone: "west", State: "loaded"},
	}
	body := EditRequest{ID: "plan", Changes: []settings.Change{
		{Path: "/dental/parents", Set: map[string]settings.Value{"max_replicas": "1", "zones": `["east"]`, "version": `"2"`}},
		{Path: "/dental/letters", Delete: true},
		{Path: "/dental/new", Create: settings.KindModel, Set: map[string]settings.Value{"min_replicas": "1"}},
	}}
	var plan DryRun
	h.call("root", http.MethodPost, "/tree/edits?dry_run=true", body, "If-Match", "1").want(http.StatusOK, &plan)
	var steps []string
	for _, effect := range plan.Models {
		for _, step := range effect.Steps {
			steps = append(steps, fmt.Sprintf("%s %s %s %d", effect.Model, effect.Change, step.Step, step.Count))
		}
	}
	want := []string{"letters removed refuse 0", "new added load 1", "parents changed unload 1", "parents changed move 1", "parents changed reload 2"}
	if !slices.Equal(steps, want) || plan.Before.MaxReplicas != 11 || plan.After.MinReplicas != 1 {
		t.Errorf("steps %v, want %v; before %+v, after %+v", steps, want, plan.Before, plan.After)
	}
	if _, stamp, _ := h.store.Load(context.Background()); stamp.Revision != 1 {
		t.Errorf("the dry run was committed")
	}
}

// TestPagesShowLastingItemsOnceWhileOthersChange guards against items that a reader sees
// twice or not at all because other items are added or removed between two pages.
func TestPagesShowLastingItemsOnceWhileOthersChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lasting := rapid.SliceOfNDistinct(rapid.StringMatching(`[a-z]{1,3}`), 1, 20, rapid.ID[string]).Draw(t, "stay")
		changing := rapid.SliceOf(rapid.StringMatching(`[a-z]{1,3}`)).Draw(t, "change")
		seen, after := map[string]int{}, ""
		for round := 0; ; round++ {
			items := slices.Clone(lasting)
			if round%2 == 1 {
				items = append(items, changing...)
			}
			slices.Sort(items)
			request := httptest.NewRequest(http.MethodGet, "/?limit=3&after="+after, nil)
			shown, next, verdictErr := paginate(request, slices.Compact(items), func(s string) string { return s })
			if verdictErr != nil {
				t.Fatal(verdictErr)
			}
			for _, item := range shown {
				seen[item]++
			}
			if after = next; next == "" {
				break
			}
		}
		for _, item := range lasting {
			if seen[item] != 1 {
				t.Fatalf("item %s is on %d pages, want 1", item, seen[item])
			}
		}
	})
}

// TestTeamTokenSeesNothingOfAnotherTeam guards against a response that reveals another
// team. It requests every route with one team's token and searches the responses for the
// word that is part of all names of the other team.
func TestTeamTokenSeesNothingOfAnotherTeam(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	h.edit("zebra-editor", "zebra-edit", 1, setChange("/zebra/zebra-ledger", "keep_alive", `"7m"`)).want(http.StatusCreated, nil)
	h.applyStoredTree()
	for _, model := range []cluster.ModelID{"zebra-reader", "zebra-ledger", "letters", "shared"} {
		h.backend.replicas = append(h.backend.replicas, Replica{Model: model, Machine: "m1", State: "loaded"})
		h.backend.queues = append(h.backend.queues, Queue{Model: model, Node: "n1"})
	}
	h.backend.traces = map[cluster.RequestID]RequestTrace{"n1.1": {ID: "n1.1", Model: "zebra-reader", TokenPath: "/zebra"}}
	for _, path := range []string{
		"/tree", "/tree?path=/zebra", "/tree?effective=/zebra", "/tree/history", "/tree/diff?from=0", "/tree/edits/zebra-edit",
		"/members", "/controllers", "/machines", "/replicas", "/queues", "/replicas?model=zebra-reader",
		"/why/models/zebra-reader", "/why/requests/n1.1", "/tree/keys",
	} {
		body := string(h.get("chief", path).body)
		body = strings.ReplaceAll(body, "cannot see /zebra", "")
		if strings.Contains(body, "zebra") {
			t.Errorf("%s reveals another team: %s", path, body)
		}
	}
	var replicas Page[Replica]
	h.get("chief", "/replicas").want(http.StatusOK, &replicas)
	if len(replicas.Items) != 2 {
		t.Errorf("a team sees %d replicas, want its own and the shared model's", len(replicas.Items))
	}
	rejected := h.edit("chief", "taken", 2, settings.Change{Path: "/dental/zebra-reader", Create: settings.KindModel}).wantFailure(http.StatusUnprocessableEntity)
	for _, problem := range rejected.Problems {
		if strings.HasPrefix(problem.Path, "/zebra") || problem.Other != "" {
			t.Errorf("a validation error names another team's level: %+v", problem)
		}
	}
}

// TestEventStreamOmitsEventsOutsideTokenSubtree guards against events of another team in
// a token's stream, and against a stream that lacks retained or new events of its own.
func TestEventStreamOmitsEventsOutsideTokenSubtree(t *testing.T) {
	h := newHarness(t, twoTeamsYAML)
	for _, event := range []Event{
		{Kind: EventDecision, Path: "/dental/letters", Text: "one"}, {Kind: EventDecision, Path: "/zebra/zebra-reader", Text: "hidden"},
		{Kind: EventMember, Text: "two"},
	} {
		h.backend.Append(event)
	}
	server := httptest.NewServer(h.handler)
	defer server.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+Prefix+"/events", nil)
	request.Header.Set("Authorization", "Bearer "+testSecret("reader"))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var ids []string
	for scanner := bufio.NewScanner(response.Body); len(ids) < 3 && scanner.Scan(); {
		if id, found := strings.CutPrefix(scanner.Text(), "id: "); found {
			if ids = append(ids, id); len(ids) == 2 {
				h.backend.Append(Event{Kind: EventSettings, Path: "/dental", Text: "three"})
			}
		}
	}
	if !slices.Equal(ids, []string{"1", "3", "4"}) {
		t.Errorf("streamed the events %v, want 1, 3 and 4", ids)
	}
}

// TestEventLogRetainsOnlyNewestEvents guards against a log that grows without bound or
// returns wrong events to a reader that lags or that has seen a previous process's events.
func TestEventLogRetainsOnlyNewestEvents(t *testing.T) {
	log := NewEventLog(4)
	for range 10 {
		log.Append(Event{})
	}
	for after, first := range map[uint64]uint64{0: 7, 6: 7, 8: 9, 99: 7} {
		events, _ := log.EventsAfter(after)
		if events[0].Number != first || events[len(events)-1].Number != 10 {
			t.Errorf("after %d: got the wrong events, %d to %d", after, events[0].Number, events[len(events)-1].Number)
		}
	}
}
