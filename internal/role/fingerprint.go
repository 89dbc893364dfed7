package role

import (
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/reducer/record"
)

// commandHeaders are the headers that change the effect of a call of a plain
// service. The other headers that a service receives only change the form of its
// answer.
var commandHeaders = []string{"Content-Encoding", "Content-Type", "If-Match", "If-None-Match"}

// fingerprintOf returns the fingerprint of a validated request.
func fingerprintOf(r entry.Request) string {
	c := record.ValidatedCommand{
		Operation: r.Scope.Operation,
		Model:     r.Model,
		Version:   r.Version,
		Adapter:   r.Adapter,
		Prompt:    r.Prompt,
		MaxTokens: r.MaxTokens,
		Service:   r.Service,
	}
	if r.Call == nil {
		return record.Fingerprint(c)
	}
	c.Method, c.Path, c.Body = r.Call.Method, r.Call.Path, r.Call.Body
	c.Header = map[string]string{}
	for _, name := range commandHeaders {
		if value, found := r.Call.Header[name]; found {
			c.Header[name] = value
		}
	}
	return record.Fingerprint(c)
}
