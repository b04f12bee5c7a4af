package api

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/valveslip/valveslip/cluster"
	"github.com/valveslip/valveslip/settings"
	"github.com/valveslip/valveslip/verdict"
)

// modelObject is the model object of OpenAI's API.
type modelObject struct {
	ID      cluster.ModelID `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	OwnedBy string          `json:"owned_by"`
}

// modelList is the list of models of OpenAI's API.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

// newModelObject returns the model object of a model.
func newModelObject(model *settings.Model) modelObject {
	return modelObject{ID: model.ID, Object: "model", OwnedBy: model.Team}
}

// listModels responds with the models that the token may call.
func (c *callersHandler) listModels(w http.ResponseWriter, r *http.Request) {
	snapshot := c.Settings()
	token, failure := authenticate(snapshot, r, time.Now())
	if failure != nil {
		writeError(w, StatusOf(failure.Code), failure, "")
		return
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for i := range snapshot.Models {
		if snapshot.Visible(token.Path, &snapshot.Models[i]) {
			list.Data = append(list.Data, newModelObject(&snapshot.Models[i]))
		}
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(c.WriteStallTimeout))
	writeJSON(w, list)
}

// getModel responds with one model.
func (c *callersHandler) getModel(w http.ResponseWriter, r *http.Request) {
	snapshot := c.Settings()
	token, failure := authenticate(snapshot, r, time.Now())
	if failure != nil {
		writeError(w, StatusOf(failure.Code), failure, "")
		return
	}
	model, failure := visibleModel(snapshot, token, chi.URLParam(r, "*"))
	if failure != nil {
		writeError(w, StatusOf(failure.Code), failure, "model")
		return
	}
	writeJSON(w, newModelObject(model))
}

// visibleModel returns the named model if the token may see it. A model that the token may not see
// causes the same error as one that does not exist, so that its existence is not revealed.
func visibleModel(snapshot *settings.Snapshot, token *settings.Token, name string) (*settings.Model, *verdict.Error) {
	model := snapshot.Model(cluster.ModelID(name))
	if model == nil || !snapshot.Visible(token.Path, model) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeModelNotFound, "there is no model %q", name)
	}
	return model, nil
}

// writeJSON responds with status 200 and a JSON value.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
