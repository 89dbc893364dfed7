package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// watch streams the changes after ?from=, one JSON object a line. A client whose
// connection broke resumes from the revision of the last line that it read.
func (a *api) watch(c *echo.Context) error {
	from, err := numberParam(c, "from")
	if err != nil {
		return err
	}
	changes, complete, next, err := a.changesSince(from)
	if err != nil {
		return a.refuseOrRedirect(c, err, "")
	}
	a.outcomes.WithLabelValues(operation(c), outcomeOK).Inc()
	header := c.Response().Header()
	header.Set("Content-Type", "application/x-ndjson")
	header.Set("Cache-Control", "no-store")
	c.Response().WriteHeader(http.StatusOK)
	w := &watcher{api: a, encoder: json.NewEncoder(c.Response()), flush: http.NewResponseController(c.Response())}
	for {
		if err := w.send(changes, complete, next.revision); err != nil {
			return nil // the client disconnected; the status line was sent already
		}
		if !w.wait(c.Request().Context(), next) {
			return nil
		}
		// Applied commands never decrease the revision, but a snapshot that
		// replaces the state may.
		changes, complete, next, err = a.changesSince(next.revision)
		if err != nil {
			return nil
		}
		complete = complete && next.revision > 0 // an empty state is sent only once
	}
}

// position is the revision up to which a watcher has received changes, and the channel
// that is closed at the next change.
type position struct {
	revision uint64
	changed  <-chan struct{}
}

// changesSince returns the changes after a revision. If complete is true, they are
// the complete state instead.
func (a *api) changesSince(from uint64) (changes []declared.Change, complete bool, next position, err error) {
	next.changed = a.Store.Read(func(d *declared.State) {
		var known bool
		next.revision = d.Revision()
		changes, known, err = d.Since(from)
		complete = from == 0 || !known
		if err == nil && complete {
			changes = d.Everything()
		}
	})
	if err != nil { // the watcher has seen a later revision than this VM has
		err = &oriolebend.Problem{
			Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo,
			Detail: err.Error() + ": this control VM is behind", Cause: err,
		}
	}
	return changes, complete, next, err
}

// watcher writes the answer to one watch request.
type watcher struct {
	api     *api
	encoder *json.Encoder
	flush   *http.ResponseController
}

func (w *watcher) send(changes []declared.Change, complete bool, revision uint64) error {
	if complete {
		if err := w.encoder.Encode(oriolebend.WatchEvent{Snapshot: true}); err != nil {
			return err
		}
	}
	for _, change := range changes {
		event := oriolebend.WatchEvent{Revision: change.Revision, Resource: change.Resource, Server: change.Server}
		if err := w.encoder.Encode(event); err != nil {
			return err
		}
	}
	bookmark := oriolebend.WatchEvent{Revision: revision, Bookmark: true}
	if w.api.Confirmed != nil {
		if age, known := w.api.Confirmed(); known {
			encodedAge := oriolebend.Duration(age)
			bookmark.Age = &encodedAge
		}
	}
	if err := w.encoder.Encode(bookmark); err != nil {
		return err
	}
	return w.flush.Flush()
}

// wait waits until there is something to send: changes, or a bookmark that shows that
// the watch still works. It returns false if the request ended.
func (w *watcher) wait(ctx context.Context, next position) bool {
	timer := time.NewTimer(w.api.BookmarkInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-next.changed:
	case <-timer.C:
	}
	return true
}
