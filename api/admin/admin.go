package admin

import (
	"context"
	_ "embed"
	"log/slog"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// Prefix is the path prefix of all routes of the API.
const Prefix = "/admin/v1"

// maxEditBytes is the maximum size of the request body of an edit.
const maxEditBytes = 1 << 20

// openAPIDescription is the OpenAPI description of the API, in YAML.
//
//go:embed openapi.yaml
var openAPIDescription []byte

// Config holds the dependencies and options of the administration API.
type Config struct {
	Backend Backend
	Store   EditStore
	// Bootstrap is a token that is accepted in addition to the tokens in the
	// settings tree, so that the first edit can be made. Its Path is the root.
	// Nil means that there is no such token.
	Bootstrap *settings.Token
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Logger receives the log of edits; nil discards it.
	Logger *slog.Logger
}

// server implements the handlers of the administration API.
type server struct{ Config }

// New returns the handler of the administration API and the status page. It
// matches the full request path, beginning with Prefix, even if it is mounted
// below another chi router.
func New(config Config) http.Handler {
	router := newRouter(config)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Without the outer router's context, chi matches the full path again.
		unmounted := context.WithValue(r.Context(), chi.RouteCtxKey, (*chi.Context)(nil))
		router.ServeHTTP(w, r.WithContext(unmounted))
	})
}

// newRouter returns the router of the API and the status page.
func newRouter(config Config) chi.Router {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.Logger == nil {
		config.Logger = slog.New(slog.DiscardHandler)
	}
	s := &server{Config: config}
	router := chi.NewRouter()
	router.NotFound(func(w http.ResponseWriter, r *http.Request) {
		writeFailure(w, http.StatusNotFound, Failure{Code: codeNotFound,
			Message: "there is no " + r.URL.Path, Verdict: verdict.NotRun.String()}, 0)
	})
	router.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) {
		writeFailure(w, http.StatusMethodNotAllowed, Failure{Code: verdict.CodeInvalidRequest,
			Message: r.Method + " is not allowed here", Verdict: verdict.NotRun.String()}, 0)
	})
	router.Route(Prefix, s.routes)
	registerStatusPage(router)
	return router
}

// routes registers the routes of the API. All but the OpenAPI description
// require a token.
func (s *server) routes(router chi.Router) {
	router.Get("/openapi.yaml", serveDescription)
	router.Group(func(router chi.Router) {
		router.Use(s.requireReadAccess)
		router.Get("/tree", s.getTree)
		router.Get("/tree/keys", s.getKeys)
		router.Get("/tree/history", s.getHistory)
		router.Get("/tree/diff", s.getDiff)
		router.Get("/tree/edits/{id}", s.getEdit)
		router.Get("/members", s.getMembers)
		router.Get("/controllers", s.getControllers)
		router.Get("/machines", s.getMachines)
		router.Get("/replicas", s.getReplicas)
		router.Get("/queues", s.getQueues)
		router.Get("/why/models/{model}", s.getWhyModel)
		router.Get("/why/requests/{request}", s.getWhyRequest)
		router.Get("/events", s.getEvents)
		router.With(requireRole(settings.RoleEdit)).Post("/tree/edits", s.postEdit)
	})
}

// serveDescription handles GET /openapi.yaml.
func serveDescription(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = w.Write(openAPIDescription)
}
