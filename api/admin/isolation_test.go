package admin

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/placement"
	"github.com/valveslip/valveslip/settings"
)

// otherTeam is the name of the team whose data must stay hidden. It is part of every
// name, message and id of that team.
const otherTeam = "zebra"

// drawTwoTeams draws a tree with the teams /alpha and /zebra. All names below /zebra
// contain otherTeam.
func drawTwoTeams(t *rapid.T) *settings.Tree {
	changes := []settings.Change{{Path: "/", PutTokens: []settings.AccessToken{{Name: "root", SHA256: testSecretHash("root"), Role: settings.RoleAdminister}}}}
	for _, team := range []string{"alpha", otherTeam} {
		role := rapid.SampledFrom([]settings.Role{settings.RoleRead, settings.RoleEdit, settings.RoleAdminister}).Draw(t, "role")
		changes = append(changes, settings.Change{Path: "/" + team, Create: settings.KindTeam,
			Set:       map[string]settings.Value{"max_replicas": "3"},
			PutTokens: []settings.AccessToken{{Name: team, SHA256: testSecretHash(team), Role: role}}})
		levels := []string{"/" + team}
		for i := range rapid.IntRange(1, 5).Draw(t, "levels") {
			path := fmt.Sprintf("%s/%s-%d", rapid.SampledFrom(levels).Draw(t, "above"), team, i)
			kind := rapid.SampledFrom([]settings.Kind{settings.KindService, settings.KindModel, settings.KindModel}).Draw(t, "kind")
			if kind == settings.KindService {
				levels = append(levels, path)
			}
			changes = append(changes, settings.Change{Path: path, Create: kind, Set: map[string]settings.Value{"priority": "-1"}})
		}
	}
	_, tree, err := settings.EmptyTree().Validate(settings.Edit{ID: otherTeam, Changes: changes})
	if err != nil {
		t.Fatal(err)
	}
	return tree
}

// fillBackend adds a replica, a queue, a decision and a request trace of every model to
// the backend.
func (h *harness) fillBackend() {
	backend := h.backend
	backend.decisions, backend.traces = map[cluster.ModelID][]ModelDecision{}, map[cluster.RequestID]RequestTrace{}
	for i := range backend.snapshot.Models {
		model := &backend.snapshot.Models[i]
		backend.replicas = append(backend.replicas, Replica{Model: model.ID, Machine: "m1", State: "loaded"})
		backend.queues = append(backend.queues, Queue{Model: model.ID, Node: "n1"})
		backend.decisions[model.ID] = []ModelDecision{{Zone: "east", Decision: placement.Decision{Model: model.ID, Reason: placement.Reason{Source: model.Path}}}}
		id := cluster.RequestID("n1." + string(model.ID))
		backend.traces[id] = RequestTrace{ID: id, Model: model.ID, TokenPath: model.Team}
	}
}

// drawRequest draws a read or an edit whose target is any level of the tree.
func drawRequest(t *rapid.T, tree *settings.Tree, revision int64) (method, path, target string, body any) {
	target = rapid.SampledFrom(tree.Paths()).Draw(t, "target")
	name := target[strings.LastIndexByte(target, '/')+1:] + rapid.SampledFrom([]string{"", "", "x"}).Draw(t, "suffix")
	if name == "" {
		name = "none"
	}
	if rapid.IntRange(0, 2).Draw(t, "edit") > 0 {
		return http.MethodGet, rapid.SampledFrom([]string{
			"/tree", "/tree?path=" + target, "/tree?effective=" + target, "/tree?stored=true", "/tree/history", "/tree/diff?from=0",
			"/tree/edits/" + otherTeam, "/members", "/controllers", "/machines", "/replicas", "/replicas?model=" + name, "/queues",
			"/why/models/" + name, "/why/requests/n1." + name,
		}).Draw(t, "read"), target, nil
	}
	change := settings.Change{Path: target}
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		change.Delete = true
	case 1:
		change.Path, change.Create = strings.TrimSuffix(target, "/")+"/new", settings.KindModel
	case 2:
		change.PutTokens = []settings.AccessToken{{Name: "stolen", SHA256: testSecretHash("stolen"), Role: settings.RoleAdminister}}
	default:
		change.Set = map[string]settings.Value{rapid.SampledFrom([]string{"priority", "max_replicas", "keep_alive", "max_concurrency"}).Draw(t, "key"): "9"}
	}
	id := fmt.Sprintf("alpha-%d-%d", revision, rapid.IntRange(0, 1<<30).Draw(t, "id"))
	path = rapid.SampledFrom([]string{"/tree/edits", "/tree/edits?dry_run=true"}).Draw(t, "post")
	return http.MethodPost, path, target, EditRequest{ID: id, Changes: []settings.Change{change}}
}

// encodeLevels returns the stored levels of a subtree and the root level, encoded.
func (h *harness) encodeLevels(path string) string {
	tree, _, err := h.store.Load(context.Background())
	if err != nil {
		h.t.Fatal(err)
	}
	return string(settings.TreeFromLevels(append(tree.Levels(path), tree.Level("/"))).Encode())
}

// TestRandomRequestsKeepTeamsIsolated guards against a token that reaches beyond its
// team. It sends random requests with one team's token to random trees: no response may
// name the other team, neither the other team nor the root may change, and no level of
// the token's team may get more than the level above granted.
func TestRandomRequestsKeepTeamsIsolated(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := newTreeHarness(t, drawTwoTeams(rt))
		h.fillBackend()
		before := h.encodeLevels("/" + otherTeam)
		for range rapid.IntRange(1, 12).Draw(rt, "calls") {
			tree, stamp, _ := h.store.Load(context.Background())
			method, path, target, body := drawRequest(rt, tree, stamp.Revision)
			answer := h.call("alpha", method, path, body, "If-Match", fmt.Sprint(stamp.Revision))
			text := string(answer.body)
			if answer.status >= http.StatusBadRequest {
				// An error response may repeat the path of the request.
				text = strings.ReplaceAll(text, target, "")
			}
			if strings.Contains(text, otherTeam) {
				rt.Fatalf("%s %s %v reveals the other team: %s", method, path, body, answer.body)
			}
			h.applyStoredTree()
		}
		if after := h.encodeLevels("/" + otherTeam); after != before {
			rt.Fatalf("another team or the root was changed, before:\n%s\nafter:\n%s", before, after)
		}
		for i := range h.backend.snapshot.Models {
			model := &h.backend.snapshot.Models[i]
			if model.Policy.MaxReplicas > 3 || model.Policy.Priority > 0 {
				rt.Fatalf("model %s has more replicas or priority than its team was granted: %+v", model.Path, model.Policy)
			}
		}
	})
}
