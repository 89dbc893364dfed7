package load

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/internal/caller"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
)

const (
	// identityMark stands in a status path for the identity of a call.
	identityMark  = "{identity}"
	defaultSettle = 2 * time.Second
	// statusWithin bounds one question to a service.
	statusWithin = 5 * time.Second
)

// verifyNotRun asks the services for each call that its caller was told did not
// run.
func (r *runner) verifyNotRun(ctx context.Context) {
	var told []*Result
	for i := range r.results {
		class := r.config.Description.Classes[r.results[i].Request.Class]
		if r.results[i].Outcome == OutcomeRefused && class.StatusPath != "" {
			told = append(told, &r.results[i])
		}
	}
	if len(told) == 0 || !pause.For(ctx, r.config.SettleFor) {
		return
	}
	for _, result := range told {
		result.FalseNotRun = r.sender.ran(ctx, result.Request)
	}
}

// ran reports whether a service knows a call. A question that gets no answer of
// the service says nothing.
func (s *sender) ran(ctx context.Context, r Request) bool {
	ctx, cancel := context.WithTimeout(ctx, statusWithin)
	defer cancel()
	entries := s.description.Entries
	m := s.sending(r)
	url := strings.TrimSuffix(entries[r.Number%len(entries)], "/") + s.statusPath(r)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	for _, name := range []string{"Authorization", caller.HeaderOrganisation} {
		request.Header.Set(name, m.header.Get(name))
	}
	response, err := s.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK || response.StatusCode == http.StatusAccepted
}

func (s *sender) statusPath(r Request) string {
	class := s.description.Classes[r.Class]
	operation := class.Operation
	if operation == "" {
		service, _, _ := strings.Cut(strings.TrimPrefix(class.Path, "/services/"), "/")
		operation = caller.ServiceOperation(service)
	}
	identity := caller.IdentityOf(message.Scope{
		Organisation: s.description.Organisations[r.Organisation].Name,
		Operation:    operation,
		Key:          keyOf(s.run, r),
	})
	return strings.ReplaceAll(class.StatusPath, identityMark, identity)
}
