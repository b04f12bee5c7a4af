package admin

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/valveslip/valveslip/settings"
)

// benchTree returns a tree with 62 models, and 1,600 adapters in 40 teams.
func benchTree(b *testing.B) *settings.Tree {
	token := settings.AccessToken{Name: "root", SHA256: testSecretHash("root"), Role: settings.RoleAdminister}
	changes := []settings.Change{{Path: "/", PutTokens: []settings.AccessToken{token}}}
	for i := range 62 {
		changes = append(changes, settings.Change{Path: fmt.Sprintf("/model-%02d", i), Create: settings.KindModel})
	}
	for i := range 40 {
		changes = append(changes, settings.Change{Path: fmt.Sprintf("/team-%02d", i), Create: settings.KindTeam})
	}
	for i := range 1600 {
		changes = append(changes, settings.Change{Path: fmt.Sprintf("/team-%02d/adapter-%04d", i%40, i), Create: settings.KindAdapter,
			Set: map[string]settings.Value{"base": settings.Value(fmt.Sprintf(`"model-%02d"`, i%62)), "memory": `"512MiB"`}})
	}
	_, tree, err := settings.EmptyTree().Validate(settings.Edit{ID: "bench", Changes: changes})
	if err != nil {
		b.Fatal(err)
	}
	return tree
}

// serveUnchecked serves one request and checks its status, but does not validate it
// against the OpenAPI description.
func (h *harness) serveUnchecked(request *http.Request, status int) {
	recorder := newStatusWriter()
	h.handler.ServeHTTP(recorder, request)
	if recorder.status != status {
		h.t.Fatalf("status %d, want %d", recorder.status, status)
	}
}

// statusWriter is a response writer that records the status and discards the body.
type statusWriter struct {
	header http.Header
	status int
}

func newStatusWriter() *statusWriter                   { return &statusWriter{header: http.Header{}} }
func (d *statusWriter) Header() http.Header            { return d.header }
func (d *statusWriter) Write(data []byte) (int, error) { return len(data), nil }
func (d *statusWriter) WriteHeader(status int)         { d.status = status }

func BenchmarkGetTreePage(b *testing.B) {
	h := newTreeHarness(b, benchTree(b))
	b.ReportAllocs()
	for b.Loop() {
		h.serveUnchecked(h.request("root", http.MethodGet, "/tree?limit=200", nil), http.StatusOK)
	}
}

func BenchmarkGetEffective(b *testing.B) {
	h := newTreeHarness(b, benchTree(b))
	b.ReportAllocs()
	for b.Loop() {
		h.serveUnchecked(h.request("root", http.MethodGet, "/tree?effective=/team-07/adapter-0007", nil), http.StatusOK)
	}
}

func BenchmarkPostEdit(b *testing.B) {
	h := newTreeHarness(b, benchTree(b))
	revision := 1
	b.ReportAllocs()
	for b.Loop() {
		edit := EditRequest{ID: fmt.Sprint(revision), Changes: []settings.Change{setChange("/team-07/adapter-0007", "priority", settings.Value(fmt.Sprint(revision%9)))}}
		h.serveUnchecked(h.request("root", http.MethodPost, "/tree/edits", edit, "If-Match", fmt.Sprint(revision)), http.StatusCreated)
		revision++
	}
}

func BenchmarkDryRun(b *testing.B) {
	h := newTreeHarness(b, benchTree(b))
	edit := EditRequest{ID: "plan", Changes: []settings.Change{setChange("/team-07", "keep_alive", `"5m"`)}}
	b.ReportAllocs()
	for b.Loop() {
		h.serveUnchecked(h.request("root", http.MethodPost, "/tree/edits?dry_run=true", edit, "If-Match", "1"), http.StatusOK)
	}
}
