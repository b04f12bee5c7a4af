package shell

import (
	"io"
	"net/http"

	"github.com/go-chi/chi/v5"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// adminHandler serves health, metrics and the administration API.
func (n *Node) adminHandler() http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { answerText(w, http.StatusOK, "ok") })
	router.Get("/readyz", n.serveReady)
	router.Handle("/metrics", promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{}))
	if n.options.Admin != nil {
		router.Mount("/admin", n.options.Admin(n))
	}
	return router
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
