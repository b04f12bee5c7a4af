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

// Prefix is where the API lives.
const Prefix = "/admin/v1"

// maxEditBytes bounds the body of an edit.
const maxEditBytes = 1 << 20

// description is the OpenAPI description of the API.
//
//go:embed openapi.yaml
var description []byte

// Config sets up the administration API.
type Config struct {
	Backend Backend
	Store   EditStore
	// Bootstrap is a token that holds for the whole tree besides those in it,
	// for the first edit; nil for none. Its Path is the root.
	Bootstrap *settings.Token
	// Now is the clock; time.Now when nil.
	Now    func() time.Time
	Logger *slog.Logger
}

// server serves the administration API.
type server struct{ Config }

// New returns the handler of the administration API. It takes whole paths, which
// begin with Prefix, also when it is mounted below another chi router.
func New(config Config) http.Handler {
	router := newRouter(config)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		unmounted := context.WithValue(r.Context(), chi.RouteCtxKey, (*chi.Context)(nil))
		router.ServeHTTP(w, r.WithContext(unmounted))
	})
}

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
	servePage(router)
	return router
}

// routes registers every route of the API.
func (s *server) routes(router chi.Router) {
	router.Get("/openapi.yaml", serveDescription)
	router.Group(func(router chi.Router) {
		router.Use(s.authenticated)
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

func serveDescription(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/yaml")
	_, _ = w.Write(description)
}
