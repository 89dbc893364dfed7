package client

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	routingPath  = "/v1/routing"
	backendsPath = "/v1/backends"
)

// Routing returns the routing in force.
func (c *Client) Routing(ctx context.Context) (oriolebend.Routing, error) {
	var r oriolebend.Routing
	err := c.call(ctx, request{method: http.MethodGet, path: routingPath}, &r)
	return r, err
}

// DeclareRouting brings a routing into force. Declaring the same routing again changes
// nothing, so the call can be repeated when its answer was lost.
func (c *Client) DeclareRouting(ctx context.Context, r oriolebend.Routing) (oriolebend.RoutingResult, error) {
	body, err := json.Marshal(r)
	if err != nil {
		return oriolebend.RoutingResult{}, err
	}
	var result oriolebend.RoutingResult
	err = c.call(ctx, request{method: http.MethodPut, path: routingPath, body: body}, &result)
	return result, err
}

// Backends returns the backend servers that the answering control VM knows from
// announcements.
func (c *Client) Backends(ctx context.Context) ([]oriolebend.Backend, error) {
	var list []oriolebend.Backend
	err := c.call(ctx, request{method: http.MethodGet, path: backendsPath}, &list)
	return list, err
}
