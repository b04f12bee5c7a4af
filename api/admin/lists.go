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
	// Missing nodes did not answer; what only they know is left out.
	Missing []cluster.NodeID `json:"missing,omitempty"`
}

// listing is how one list is made.
type listing[T any] struct {
	local func(context.Context) ([]T, error)
	// remote asks another node, and peers names those to ask; nil for lists
	// that every node knows whole.
	remote func(*Client, context.Context) ([]T, error)
	peers  func(context.Context) []Member
	keep   func(T) bool
	key    func(T) string
}

// write answers with a page of the list.
func (l listing[T]) write(s *server, w http.ResponseWriter, r *http.Request) {
	items, err := l.local(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	items = slices.Clone(items)
	var missing []cluster.NodeID
	if l.remote != nil {
		var others [][]T
		others, missing = gather(s, r, l.peers, l.remote)
		items = append(items, slices.Concat(others...)...)
	}
	kept := slices.DeleteFunc(items, func(item T) bool { return !l.keep(item) })
	kept, next, failed := page(r, kept, l.key)
	if failed != nil {
		writeVerdict(w, failed)
		return
	}
	if kept == nil {
		kept = []T{}
	}
	writeJSON(w, http.StatusOK, Page[T]{Items: kept, Next: next, Missing: missing})
}

func all[T any](T) bool { return true }

func (s *server) getMembers(w http.ResponseWriter, r *http.Request) {
	listing[Member]{local: s.Backend.Members, keep: all[Member], key: func(m Member) string { return string(m.ID) }}.write(s, w, r)
}

// getControllers answers with the claims this node knows, completed by what
// each controller says of itself.
func (s *server) getControllers(w http.ResponseWriter, r *http.Request) {
	known, err := s.Backend.Controllers(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	others, _ := gather(s, r, s.controllerPeers, (*Client).Controllers)
	own := map[cluster.ZoneID]Controller{}
	for _, controller := range slices.Concat(others...) {
		if controller.Sealed > 0 || controller.Machines > 0 {
			own[controller.Zone] = controller
		}
	}
	known = slices.Clone(known)
	for i := range known {
		if detailed, found := own[known[i].Zone]; found && detailed.Token == known[i].Token {
			known[i] = detailed
		}
	}
	list := func(context.Context) ([]Controller, error) { return known, nil }
	listing[Controller]{local: list, keep: all[Controller], key: func(c Controller) string { return string(c.Zone) }}.write(s, w, r)
}

func (s *server) getMachines(w http.ResponseWriter, r *http.Request) {
	listing[Machine]{
		local: s.Backend.Machines, remote: (*Client).Machines, peers: s.controllerPeers,
		keep: all[Machine], key: func(m Machine) string { return string(m.ID) },
	}.write(s, w, r)
}

func (s *server) getReplicas(w http.ResponseWriter, r *http.Request) {
	visible := s.visibleModels(r)
	listing[Replica]{
		local: s.Backend.Replicas, remote: (*Client).Replicas, peers: s.controllerPeers,
		keep: func(replica Replica) bool { return visible(replica.Model) },
		key:  func(replica Replica) string { return string(replica.Model) + " " + string(replica.Machine) },
	}.write(s, w, r)
}

func (s *server) getQueues(w http.ResponseWriter, r *http.Request) {
	visible := s.visibleModels(r)
	listing[Queue]{
		local: s.Backend.Queues, remote: (*Client).Queues, peers: s.alivePeers,
		keep: func(queue Queue) bool { return visible(queue.Model) },
		key:  func(queue Queue) string { return string(queue.Model) + " " + string(queue.Node) },
	}.write(s, w, r)
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
