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

// watch streams changes after ?from=, one JSON object a line. A watcher that
// was cut off resumes from the revision of the last line it read.
func (a *api) watch(c *echo.Context) error {
	from, err := numberParam(c, "from")
	if err != nil {
		return err
	}
	changes, whole, next, err := a.since(from)
	if err != nil {
		return a.refused(c, err, "")
	}
	a.outcomes.WithLabelValues(operation(c), outcomeOK).Inc()
	header := c.Response().Header()
	header.Set("Content-Type", "application/x-ndjson")
	header.Set("Cache-Control", "no-store")
	c.Response().WriteHeader(http.StatusOK)
	w := &watcher{api: a, encoder: json.NewEncoder(c.Response()), flush: http.NewResponseController(c.Response())}
	for {
		if err := w.send(changes, whole, next.revision); err != nil {
			return nil // the watcher left; it has its status line already
		}
		if !w.wait(c.Request().Context(), next) {
			return nil
		}
		// This state never goes back while it is watched, but a snapshot that
		// replaces it may.
		changes, whole, next, err = a.since(next.revision)
		if err != nil {
			return nil
		}
		whole = whole && next.revision > 0 // nothing at all is sent once
	}
}

// position is how far a watcher is, and what tells it of more.
type position struct {
	revision uint64
	changed  <-chan struct{}
}

// since reads the changes after a revision; whole is true if they are all
// there is.
func (a *api) since(from uint64) (changes []declared.Change, whole bool, next position, err error) {
	next.changed = a.Store.Read(func(d *declared.State) {
		var known bool
		next.revision = d.Revision()
		changes, known, err = d.Since(from)
		whole = from == 0 || !known
		if err == nil && whole {
			changes = d.Everything()
		}
	})
	if err != nil { // this VM is behind what the watcher has seen
		err = &oriolebend.Problem{
			Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo,
			Detail: err.Error() + ": this control VM is behind", Cause: err,
		}
	}
	return changes, whole, next, err
}

// watcher writes one watch.
type watcher struct {
	api     *api
	encoder *json.Encoder
	flush   *http.ResponseController
}

func (w *watcher) send(changes []declared.Change, whole bool, revision uint64) error {
	if whole {
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
			held := oriolebend.Duration(age)
			bookmark.Age = &held
		}
	}
	if err := w.encoder.Encode(bookmark); err != nil {
		return err
	}
	return w.flush.Flush()
}

// wait returns true when there is more to send: changes, or a bookmark that
// shows that the watch lives.
func (w *watcher) wait(ctx context.Context, next position) bool {
	timer := time.NewTimer(w.api.BookmarkEvery)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-next.changed:
	case <-timer.C:
	}
	return true
}
