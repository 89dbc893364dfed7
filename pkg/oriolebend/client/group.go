package client

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const groupPath = "/v1/group"

func memberPath(name string) string { return groupPath + "/members/" + url.PathEscape(name) }

// Group returns a control VM's view of the group of control VMs.
func (c *Client) Group(ctx context.Context) (oriolebend.Group, error) {
	return c.group(ctx, request{method: http.MethodGet, path: groupPath})
}

// AddMember adds a control VM. It becomes a voter once it has caught up.
func (c *Client) AddMember(ctx context.Context, m oriolebend.GroupMember) (oriolebend.Group, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return oriolebend.Group{}, err
	}
	return c.group(ctx, request{method: http.MethodPut, path: memberPath(m.Name), body: body})
}

// RemoveMember removes a control VM.
func (c *Client) RemoveMember(ctx context.Context, name string) (oriolebend.Group, error) {
	return c.group(ctx, request{method: http.MethodDelete, path: memberPath(name)})
}

// TransferLeadership makes the leader transfer leadership to another control VM.
func (c *Client) TransferLeadership(ctx context.Context) (oriolebend.Group, error) {
	return c.group(ctx, request{method: http.MethodPost, path: groupPath + "/transfer"})
}

func (c *Client) group(ctx context.Context, r request) (oriolebend.Group, error) {
	var g oriolebend.Group
	err := c.call(ctx, r, &g)
	return g, err
}
