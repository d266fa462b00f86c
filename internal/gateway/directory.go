package gateway

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/routing"
)

// addressesBody is the response of /v1/addresses.
type addressesBody struct {
	Addresses  []membership.Address `json:"addresses"`
	TTLSeconds int                  `json:"ttl_seconds"`
}

func (g *Gateway) addresses(w http.ResponseWriter, r *http.Request) {
	name, _, err := g.authenticate(r)
	if err != nil {
		g.refuse(w, "addresses", "", err)
		return
	}
	writeJSON(w, addressesBody{
		Addresses:  g.View().Directory(name, r.URL.Query().Get("session")),
		TTLSeconds: int(membership.AddressTTL.Seconds()),
	})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// modelList is the response of /v1/models in the OpenAI format.
type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

// models lists the model names that the caller's organisation may use.
func (g *Gateway) models(w http.ResponseWriter, r *http.Request) {
	name, _, err := g.authenticate(r)
	if err != nil {
		g.refuse(w, "models", "", err)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, id := range modelNames(g.Config.Current(), name) {
		list.Data = append(list.Data, modelEntry{ID: id, Object: "model", OwnedBy: name})
	}
	writeJSON(w, list)
}

// modelNames returns the names that requests of an organisation may use at
// present: routing.AnyModel, models and versions.
func modelNames(rev *config.Revision, organisation string) []string {
	var names []string
	for model, m := range rev.Config.Models {
		for version := range m.Versions {
			t := config.Target{Model: model, Version: version}
			if routing.IsAllowed(rev, organisation, t) {
				names = append(names, model, t.String())
			}
		}
	}
	if len(names) == 0 {
		return nil
	}
	slices.Sort(names)
	return append([]string{routing.AnyModel}, slices.Compact(names)...)
}
