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
	Items []T    `json:"items"`
	Next  string `json:"next,omitempty"`
}

// writeList answers with a page of what list returns.
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
	kept, next, failed := page(r, kept, key)
	if failed != nil {
		writeVerdict(w, failed)
		return
	}
	writeJSON(w, http.StatusOK, Page[T]{Items: slices.Clip(kept), Next: next})
}

func all[T any](T) bool { return true }

func (s *server) getMembers(w http.ResponseWriter, r *http.Request) {
	writeList(w, r, s.Backend.Members, all, func(m Member) string { return string(m.ID) })
}

func (s *server) getControllers(w http.ResponseWriter, r *http.Request) {
	writeList(w, r, s.Backend.Controllers, all, func(c Controller) string { return string(c.Zone) })
}

func (s *server) getMachines(w http.ResponseWriter, r *http.Request) {
	writeList(w, r, s.Backend.Machines, all, func(m Machine) string { return string(m.ID) })
}

func (s *server) getReplicas(w http.ResponseWriter, r *http.Request) {
	visible := s.visibleModels(r)
	writeList(w, r, s.Backend.Replicas,
		func(replica Replica) bool { return visible(replica.Model) },
		func(replica Replica) string { return string(replica.Model) + " " + string(replica.Machine) })
}

func (s *server) getQueues(w http.ResponseWriter, r *http.Request) {
	visible := s.visibleModels(r)
	writeList(w, r, s.Backend.Queues,
		func(queue Queue) bool { return visible(queue.Model) },
		func(queue Queue) string { return string(queue.Model) + " " + string(queue.Node) })
}

// visibleModels returns which models the request's token may know of: those it
// could call. Models that left the tree are seen from the root only.
func (s *server) visibleModels(r *http.Request) func(cluster.ModelID) bool {
	token := tokenOf(r)
	_, snapshot := s.Backend.Settings()
	wanted := cluster.ModelID(r.URL.Query().Get("model"))
	return func(id cluster.ModelID) bool {
		if wanted != "" && id != wanted {
			return false
		}
		if token.Path == settings.RootPath {
			return true
		}
		model := snapshot.Model(id)
		return model != nil && snapshot.Visible(token.Path, model)
	}
}
