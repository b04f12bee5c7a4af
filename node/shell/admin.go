package shell

import (
	"context"
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/valveslip/valveslip/api/admin"
	"github.com/valveslip/valveslip/node"
	"github.com/valveslip/valveslip/settings"
)

// adminHandler returns the handler for health checks, metrics and the administration
// API.
func (n *Node) adminHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeTextLine(w, http.StatusOK, "ok") })
	router.Get("/readyz", n.serveReadiness)
	router.Handle("/metrics", promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{}))
	administration := admin.New(admin.Config{
		Backend: n.backend, Store: applyingStore{Store: settings.NewStore(n.options.Store), node: n}, Bootstrap: n.bootstrapToken(), Logger: n.logger,
	})
	router.Handle("/admin", administration)
	router.Handle("/admin/*", administration)
	return router
}

// bootstrapToken returns the configured token for the first edits, nil if there is
// none.
func (n *Node) bootstrapToken() *settings.Token {
	if n.config.BootstrapTokenSHA256 == "" {
		return nil
	}
	return &settings.Token{Name: "bootstrap", SHA256: n.config.BootstrapTokenSHA256, Role: settings.RoleAdminister, Path: "/"}
}

// applyingStore is the settings store. It passes each committed edit to this node's
// core, which then need not wait for a controller's watch.
type applyingStore struct {
	*settings.Store
	node *Node
}

// Commit implements admin.EditStore.
func (s applyingStore) Commit(ctx context.Context, edit settings.Edit) (settings.Entry, error) {
	entry, err := s.Store.Commit(ctx, edit)
	if snapshot := s.node.Settings(); err == nil && snapshot != nil {
		s.node.step(node.EditCommitted{History: snapshot.Stamp.History, Entry: entry})
	}
	return entry, err
}

// serveReadiness answers 200 when the node accepts requests, else 503.
func (n *Node) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.draining.Load():
		writeTextLine(w, http.StatusServiceUnavailable, "draining")
	case n.settings.Load() == nil:
		writeTextLine(w, http.StatusServiceUnavailable, "no settings in force")
	default:
		writeTextLine(w, http.StatusOK, "ready")
	}
}

// writeTextLine writes a plain-text answer of one line.
func writeTextLine(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
