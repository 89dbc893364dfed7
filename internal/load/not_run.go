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
	// identityPlaceholder is the placeholder of a call's identity in a status path.
	identityPlaceholder = "{identity}"
	// defaultNotRunDelay is the default of Config.NotRunDelay.
	defaultNotRunDelay = 2 * time.Second
	// statusTimeout is the timeout of one status query to a service.
	statusTimeout = 5 * time.Second
)

// verifyNotRun queries the services for each call that was reported to its caller as
// not run, and sets FalseNotRun on those that ran.
func (r *runner) verifyNotRun(ctx context.Context) {
	var notRun []*Result
	for i := range r.results {
		class := r.config.Description.Classes[r.results[i].Request.Class]
		if r.results[i].Outcome == OutcomeRefused && class.StatusPath != "" {
			notRun = append(notRun, &r.results[i])
		}
	}
	if len(notRun) == 0 || !pause.For(ctx, r.config.NotRunDelay) {
		return
	}
	for _, result := range notRun {
		result.FalseNotRun = r.sender.didRun(ctx, result.Request)
	}
}

// didRun reports whether a service knows a call. It returns false also if the query
// fails, because a failed query shows nothing.
func (s *sender) didRun(ctx context.Context, r Request) bool {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	entries := s.description.Entries
	m := s.buildMessage(r)
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

// statusPath returns the status path of a class with the identity of a call in it.
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
		Key:          idempotencyKey(s.run, r),
	})
	return strings.ReplaceAll(class.StatusPath, identityPlaceholder, identity)
}
