package client

import (
	"context"
	"net/http"
	"net/url"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const quarantinesPath = "/v1/quarantines"

// Quarantines lists the quarantines that the answering control VM knows.
func (c *Client) Quarantines(ctx context.Context) ([]oriolebend.Quarantine, error) {
	var list []oriolebend.Quarantine
	err := c.call(ctx, request{method: http.MethodGet, path: quarantinesPath}, &list)
	return list, err
}

// ReleaseQuarantine ends a quarantine at all forwarders. Further crashes begin another one.
func (c *Client) ReleaseQuarantine(ctx context.Context, fingerprint string) error {
	var released struct{}
	return c.call(ctx, request{method: http.MethodDelete, path: quarantinesPath + "/" + url.PathEscape(fingerprint)}, &released)
}
