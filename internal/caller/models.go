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

// models answers with every name under which a caller may request a model now.
func (h *handler) models(c *echo.Context) error {
	if _, err := h.identify(c.Request()); err != nil {
		return err
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range modelNames(h.Router.Models()) {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model", OwnedBy: "oriolebend"})
	}
	h.extendWriteDeadline(c)
	return c.JSON(http.StatusOK, list)
}

// modelNames returns the names of loaded models, without and with version and
// adapter. The names are sorted and unique.
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

// checkModel refuses a model that no server holds. Until the list of models is
// complete it accepts every model and leaves the refusal to the Router, which gives
// the caller a retry delay.
func (h *handler) checkModel(name oriolebend.ModelName) error {
	holds := func(m oriolebend.LoadedModel) bool { return m.Holds(name) }
	if !h.Router.Settled() || slices.ContainsFunc(h.Router.Models(), holds) {
		return nil
	}
	return refuse(oriolebend.ReasonUnknownModel, "GET /v1/models lists the models")
}
