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

// adminHandler serves health, metrics and the administration API.
func (n *Node) adminHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { answerText(w, http.StatusOK, "ok") })
	router.Get("/readyz", n.serveReady)
	router.Handle("/metrics", promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{}))
	administration := admin.New(admin.Config{
		Backend: n.backend, Store: editStore{Store: settings.NewStore(n.options.Store), node: n}, Bootstrap: n.bootstrapToken(), Logger: n.logger,
	})
	router.Handle("/admin", administration)
	router.Handle("/admin/*", administration)
	return router
}

// bootstrapToken returns the configured token for the first edits, or nil.
func (n *Node) bootstrapToken() *settings.Token {
	if n.config.BootstrapTokenSHA256 == "" {
		return nil
	}
	return &settings.Token{Name: "bootstrap", SHA256: n.config.BootstrapTokenSHA256, Role: settings.RoleAdminister, Path: "/"}
}

// editStore is the settings store; an edit committed here need not wait for a
// controller's watch to reach this node.
type editStore struct {
	*settings.Store
	node *Node
}

// Commit implements admin.EditStore.
func (s editStore) Commit(ctx context.Context, edit settings.Edit) (settings.Entry, error) {
	entry, err := s.Store.Commit(ctx, edit)
	if snapshot := s.node.Settings(); err == nil && snapshot != nil {
		s.node.step(node.EditCommitted{History: snapshot.Stamp.History, Entry: entry})
	}
	return entry, err
}

// serveReady answers 200 when the node takes requests.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case n.draining.Load():
		answerText(w, http.StatusServiceUnavailable, "draining")
	case n.settings.Load() == nil:
		answerText(w, http.StatusServiceUnavailable, "no settings in force")
	default:
		answerText(w, http.StatusOK, "ready")
	}
}

// answerText writes one line.
func answerText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, text+"\n")
}
