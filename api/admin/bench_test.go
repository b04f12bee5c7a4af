package admin

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/valveslip/valveslip/settings"
)

// benchTree has 62 models and 1,600 adapters in 40 teams.
func benchTree(b *testing.B) *settings.Tree {
	token := settings.AccessToken{Name: "root", SHA256: hashOf("root"), Role: settings.RoleAdminister}
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
	_, tree, err := settings.Empty().Validate(settings.Edit{ID: "bench", Changes: changes})
	if err != nil {
		b.Fatal(err)
	}
	return tree
}

// bare serves one request without checking it against the description.
func (h *harness) bare(request *http.Request, status int) {
	recorder := newDiscard()
	h.handler.ServeHTTP(recorder, request)
	if recorder.status != status {
		h.t.Fatalf("status %d, want %d", recorder.status, status)
	}
}

// discard is a response writer that keeps the status only.
type discard struct {
	header http.Header
	status int
}

func newDiscard() *discard                        { return &discard{header: http.Header{}} }
func (d *discard) Header() http.Header            { return d.header }
func (d *discard) Write(data []byte) (int, error) { return len(data), nil }
func (d *discard) WriteHeader(status int)         { d.status = status }

func BenchmarkGetTreePage(b *testing.B) {
	h := newTreeHarness(b, benchTree(b))
	b.ReportAllocs()
	for b.Loop() {
		h.bare(h.request("root", http.MethodGet, "/tree?limit=200", nil), http.StatusOK)
	}
}

func BenchmarkGetEffective(b *testing.B) {
	h := newTreeHarness(b, benchTree(b))
	b.ReportAllocs()
	for b.Loop() {
		h.bare(h.request("root", http.MethodGet, "/tree?effective=/team-07/adapter-0007", nil), http.StatusOK)
	}
}

func BenchmarkPostEdit(b *testing.B) {
	h := newTreeHarness(b, benchTree(b))
	revision := 1
	b.ReportAllocs()
	for b.Loop() {
		edit := EditRequest{ID: fmt.Sprint(revision), Changes: []settings.Change{set("/team-07/adapter-0007", "priority", settings.Value(fmt.Sprint(revision%9)))}}
		h.bare(h.request("root", http.MethodPost, "/tree/edits", edit, "If-Match", fmt.Sprint(revision)), http.StatusCreated)
		revision++
	}
}

func BenchmarkDryRun(b *testing.B) {
	h := newTreeHarness(b, benchTree(b))
	edit := EditRequest{ID: "plan", Changes: []settings.Change{set("/team-07", "keep_alive", `"5m"`)}}
	b.ReportAllocs()
	for b.Loop() {
		h.bare(h.request("root", http.MethodPost, "/tree/edits?dry_run=true", edit, "If-Match", "1"), http.StatusOK)
	}
}
