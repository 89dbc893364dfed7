package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// List is a list of items at a revision of the declared state.
type List[T any] struct {
	Revision uint64 `json:"revision"`
	Items    []T    `json:"items"`
}

func resourcePath(key oriolebend.ResourceKey) string {
	return "/v1/resources/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}

// Get returns one declared resource.
func (c *Client) Get(ctx context.Context, key oriolebend.ResourceKey) (oriolebend.Resource, error) {
	var r oriolebend.Resource
	err := c.call(ctx, request{method: http.MethodGet, path: resourcePath(key)}, &r)
	return r, err
}

// List returns the declared resources of a kind; an empty kind means all kinds.
func (c *Client) List(ctx context.Context, kind oriolebend.ResourceKind) (List[oriolebend.Resource], error) {
	path := "/v1/resources"
	if kind != "" {
		path += "/" + url.PathEscape(string(kind))
	}
	var list List[oriolebend.Resource]
	err := c.call(ctx, request{method: http.MethodGet, path: path}, &list)
	return list, err
}

// Apply creates or replaces a resource. If the resource is invalid or not at the expected
// revision, the error is an *Error whose Problem has the Result.
func (c *Client) Apply(ctx context.Context, r oriolebend.Resource, o Options) (oriolebend.ChangeResult, error) {
	body, err := json.Marshal(struct {
		Spec oriolebend.Spec `json:"spec"`
	}{r.Spec})
	if err != nil {
		return oriolebend.ChangeResult{}, err
	}
	return c.ApplyRaw(ctx, r.Key(), body, o)
}

// ApplyRaw is Apply with the body given as JSON: {"spec": {...}}. The control VM decodes
// it and reports every invalid field.
func (c *Client) ApplyRaw(ctx context.Context, key oriolebend.ResourceKey, body []byte, o Options) (oriolebend.ChangeResult, error) {
	return c.order(ctx, request{
		method: http.MethodPut, path: resourcePath(key), query: o.query(), body: body, orderID: o.OrderID,
	})
}

// Delete deletes a resource.
func (c *Client) Delete(ctx context.Context, key oriolebend.ResourceKey, o Options) (oriolebend.ChangeResult, error) {
	return c.order(ctx, request{
		method: http.MethodDelete, path: resourcePath(key), query: o.query(), orderID: o.OrderID,
	})
}

// Drain makes a server accept no new work. With Options.Stop, its sidecar stops once
// its work has finished.
func (c *Client) Drain(ctx context.Context, server string, o Options) (oriolebend.ChangeResult, error) {
	return c.order(ctx, request{
		method: http.MethodPost, path: "/v1/servers/" + url.PathEscape(server) + "/drain",
		query: o.query(), orderID: o.OrderID,
	})
}

// Advance raises the revision counter after a restore from a backup. It must exceed the
// highest revision that any follower holds.
func (c *Client) Advance(ctx context.Context, to uint64) (oriolebend.ChangeResult, error) {
	query := url.Values{"to": {strconv.FormatUint(to, 10)}}
	return c.order(ctx, request{method: http.MethodPost, path: "/v1/advance", query: query})
}

func (c *Client) order(ctx context.Context, r request) (oriolebend.ChangeResult, error) {
	var result oriolebend.ChangeResult
	err := c.call(ctx, r, &result)
	return result, err
}

// Status compares the declared state with the state that the fleet has reached.
func (c *Client) Status(ctx context.Context) (oriolebend.Status, error) {
	var status oriolebend.Status
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/status"}, &status)
	return status, err
}

// Explain says why a declared resource has not been reached yet.
func (c *Client) Explain(ctx context.Context, key oriolebend.ResourceKey) (oriolebend.Explanation, error) {
	var e oriolebend.Explanation
	path := "/v1/explain/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
	err := c.call(ctx, request{method: http.MethodGet, path: path}, &e)
	return e, err
}

// Servers returns the member servers, each compared with its declared state.
func (c *Client) Servers(ctx context.Context) (List[oriolebend.ServerStatus], error) {
	var list List[oriolebend.ServerStatus]
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/servers"}, &list)
	return list, err
}

// Audit returns the changes that were accepted after a revision, oldest first.
func (c *Client) Audit(ctx context.Context, after uint64) (List[oriolebend.AuditEntry], error) {
	var list List[oriolebend.AuditEntry]
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	err := c.call(ctx, request{method: http.MethodGet, path: "/v1/audit", query: query}, &list)
	return list, err
}
