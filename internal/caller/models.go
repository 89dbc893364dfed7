package caller

import (
	"net/http"
	"slices"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// modelList is the answer of GET /v1/models.
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

// models lists every name that a caller may use for a model now.
func (h *handler) models(c *echo.Context) error {
	if _, err := h.identify(c.Request()); err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range modelNames(h.Router.Models()) {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "oriolebend"})
	}
	h.extendWrite(c)
	return c.JSON(http.StatusOK, list)
}

// modelNames returns the names of loaded models: without and with version and
// adapter, sorted, each once.
func modelNames(loaded []oriolebend.LoadedModel) []string {
	var names []string
	for _, m := range loaded {
		for _, adapter := range append([]string{""}, m.Adapters...) {
			name := oriolebend.ModelName{Model: m.Model, Adapter: adapter}
			names = append(names, name.String())
			name.Version = m.Version
			names = append(names, name.String())
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// checkModel refuses a model that nobody holds. Until the fleet is known it knows
// too little to say so, and leaves the question to the Router, which tells the
// caller when to come back.
func (h *handler) checkModel(name oriolebend.ModelName) error {
	holds := func(m oriolebend.LoadedModel) bool { return m.Holds(name) }
	if !h.Router.Settled() || slices.ContainsFunc(h.Router.Models(), holds) {
		return nil
	}
	return refuse(oriolebend.ReasonUnknownModel, "GET /v1/models lists the models")
}
