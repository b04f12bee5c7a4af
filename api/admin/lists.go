package admin

import (
	"context"
	"net/http"
	"slices"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
)

// Page is a page of a list.
type Page[T any] struct {
	Items []T `json:"items"`
	// Next is the value of "after" for the next page, empty on the last page.
	Next string `json:"next,omitempty"`
}

// writeList responds with a page of the items that list returns and keep accepts,
// sorted by key.
func writeList[T any](w http.ResponseWriter, r *http.Request, list func(context.Context) ([]T, error), keep func(T) bool, key func(T) string) {
	items, err := list(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	kept := make([]T, 0, len(items))
	for _, item := range items {
		if keep(item) {
			kept = append(kept, item)
		}
	}
	kept, next, verdictErr := paginate(r, kept, key)
	if verdictErr != nil {
		writeVerdict(w, verdictErr)
		return
	}
	writeJSON(w, http.StatusOK, Page[T]{Items: slices.Clip(kept), Next: next})
}

// keepAll accepts every item of a list.
func keepAll[T any](T) bool { return true }

// getMembers handles GET /members.
func (s *server) getMembers(w http.ResponseWriter, r *http.Request) {
	writeList(w, r, s.Backend.Members, keepAll, func(m Member) string { return string(m.ID) })
}

// getControllers handles GET /controllers.
func (s *server) getControllers(w http.ResponseWriter, r *http.Request) {
	writeList(w, r, s.Backend.Controllers, keepAll, func(c Controller) string { return string(c.Zone) })
}

// getMachines handles GET /machines.
func (s *server) getMachines(w http.ResponseWriter, r *http.Request) {
	writeList(w, r, s.Backend.Machines, keepAll, func(m Machine) string { return string(m.ID) })
}

// getReplicas handles GET /replicas.
func (s *server) getReplicas(w http.ResponseWriter, r *http.Request) {
	visible := s.modelFilter(r)
	writeList(w, r, s.Backend.Replicas,
		func(replica Replica) bool { return visible(replica.Model) },
		func(replica Replica) string { return string(replica.Model) + " " + string(replica.Machine) })
}

// getQueues handles GET /queues.
func (s *server) getQueues(w http.ResponseWriter, r *http.Request) {
	visible := s.modelFilter(r)
	writeList(w, r, s.Backend.Queues,
		func(queue Queue) bool { return visible(queue.Model) },
		func(queue Queue) string { return string(queue.Model) + " " + string(queue.Node) })
}

// modelFilter returns a function that reports whether a model matches the query's
// model parameter and is visible to the request's token. A token sees the models
// that it could call. Models that are no longer in the tree are visible only to
// tokens bound to the root.
func (s *server) modelFilter(r *http.Request) func(cluster.ModelID) bool {
	token := requestToken(r)
	_, snapshot := s.Backend.Settings()
	requestedModel := cluster.ModelID(r.URL.Query().Get("model"))
	return func(id cluster.ModelID) bool {
		if requestedModel != "" && id != requestedModel {
			return false
		}
		if token.Path == settings.RootPath {
			return true
		}
		model := snapshot.Model(id)
		return model != nil && snapshot.Visible(token.Path, model)
	}
}
