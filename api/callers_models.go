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

// modelObject is OpenAI's model object.
type modelObject struct {
	ID      cluster.ModelID `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	OwnedBy string          `json:"owned_by"`
}

// modelList is OpenAI's list of models.
type modelList struct {
	Object string        `json:"object"`
	Data   []modelObject `json:"data"`
}

// describe returns the object of a model.
func describe(model *settings.Model) modelObject {
	return modelObject{ID: model.ID, Object: "model", OwnedBy: model.Team}
}

// listModels answers with the models the token may call.
func (c *callers) listModels(w http.ResponseWriter, r *http.Request) {
	snapshot := c.Settings()
	token, failure := authenticate(snapshot, r, time.Now())
	if failure != nil {
		writeError(w, StatusOf(failure.Code), failure, "")
		return
	}
	list := modelList{Object: "list", Data: []modelObject{}}
	for i := range snapshot.Models {
		if snapshot.Visible(token.Path, &snapshot.Models[i]) {
			list.Data = append(list.Data, describe(&snapshot.Models[i]))
		}
	}
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(c.StallTime))
	writeJSON(w, list)
}

// getModel answers with one model.
func (c *callers) getModel(w http.ResponseWriter, r *http.Request) {
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
	writeJSON(w, describe(model))
}

// visibleModel returns a model the token may see. One that it may not see is
// answered like one that does not exist.
func visibleModel(snapshot *settings.Snapshot, token *settings.Token, name string) (*settings.Model, *verdict.Error) {
	model := snapshot.Model(cluster.ModelID(name))
	if model == nil || !snapshot.Visible(token.Path, model) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeModelNotFound, "there is no model %q", name)
	}
	return model, nil
}

// writeJSON answers 200 with a value.
func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
