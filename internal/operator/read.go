package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/reached"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// outcomeOK is the outcome under which successful requests are counted, except
// changes of resources and requests about the group.
const outcomeOK = "ok"

// listAnswer is the body of an answer that holds a list.
type listAnswer[T any] struct {
	// Revision is the revision of the state that the list was read from.
	Revision uint64 `json:"revision"`
	Items    []T    `json:"items"`
}

// read returns the declared state of this VM. With ?current=true it first confirms
// that this VM leads, so that no accepted change is missing.
func (a *api) read(c *echo.Context) (declared.View, error) {
	if c.QueryParam("current") == "true" {
		if err := a.Log.Confirm(c.Request().Context()); err != nil {
			return declared.View{}, a.refuseOrRedirect(c, err, "")
		}
	}
	view := a.Store.View()
	c.Response().Header().Set(oriolebend.HeaderRevision, strconv.FormatUint(view.Revision, 10))
	return view, nil
}

func (a *api) list(c *echo.Context) error {
	view, err := a.read(c)
	if err != nil {
		return err
	}
	answer := listAnswer[oriolebend.Resource]{Revision: view.Revision, Items: []oriolebend.Resource{}}
	answer.Items = append(answer.Items, view.List(oriolebend.ResourceKind(c.Param("kind")))...)
	return a.writeOK(c, outcomeOK, answer)
}

func keyOf(c *echo.Context) oriolebend.ResourceKey {
	return oriolebend.ResourceKey{Kind: oriolebend.ResourceKind(c.Param("kind")), Name: c.Param("name")}
}

func (a *api) get(c *echo.Context) error {
	view, err := a.read(c)
	if err != nil {
		return err
	}
	r, found := view.Resources[keyOf(c)]
	if !found {
		return notFound(keyOf(c))
	}
	return a.writeOK(c, outcomeOK, r)
}

func notFound(key oriolebend.ResourceKey) error {
	return refuse(oriolebend.ReasonUnknownRequest, key.String()+" is not declared")
}

// statusInput collects the state that a status is computed from.
func (a *api) statusInput(c *echo.Context) (reached.Observed, error) {
	view, err := a.read(c)
	if err != nil {
		return reached.Observed{}, err
	}
	k := reached.Observed{At: time.Now(), View: view}
	if a.Reports != nil {
		k.Reports = a.Reports()
	}
	if a.Announcements != nil {
		k.Announcements = a.Announcements()
	}
	return k, nil
}

func (a *api) status(c *echo.Context) error {
	k, err := a.statusInput(c)
	if err != nil {
		return err
	}
	status := k.Status()
	status.Control = a.Node
	status.Leader, _ = a.Log.Leader()
	return a.writeOK(c, outcomeOK, status)
}

func (a *api) servers(c *echo.Context) error {
	k, err := a.statusInput(c)
	if err != nil {
		return err
	}
	answer := listAnswer[oriolebend.ServerStatus]{Revision: k.View.Revision, Items: k.Servers()}
	return a.writeOK(c, outcomeOK, answer)
}

func (a *api) explain(c *echo.Context) error {
	k, err := a.statusInput(c)
	if err != nil {
		return err
	}
	explanation, found := k.Explain(keyOf(c))
	if !found {
		return notFound(keyOf(c))
	}
	return a.writeOK(c, outcomeOK, explanation)
}

func (a *api) audit(c *echo.Context) error {
	after, err := numberParam(c, "after")
	if err != nil {
		return err
	}
	answer := listAnswer[oriolebend.AuditEntry]{Items: []oriolebend.AuditEntry{}}
	a.Store.Read(func(d *declared.State) {
		answer.Revision = d.Revision()
		answer.Items = append(answer.Items, d.Audit(after)...)
	})
	return a.writeOK(c, outcomeOK, answer)
}

// numberParam returns the number in a query parameter, zero if it is absent.
func numberParam(c *echo.Context, name string) (uint64, error) {
	text := c.QueryParam(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, refuse(oriolebend.ReasonMalformed, "?"+name+"= takes a revision, a whole number")
	}
	return number, nil
}

// refuseOrRedirect converts an error of the log to an answer. If another VM leads, a
// 307 redirects the operator's client there, which keeps method and body. With a
// redirect the leader checks the token itself, and there is no intermediate hop that
// could hide a lost answer.
func (a *api) refuseOrRedirect(c *echo.Context, err error, orderID string) error {
	r := a.asRefusal(err)
	r.orderID = orderID
	if r.Reason != oriolebend.ReasonNotLeader || r.Ran != oriolebend.RanNo || a.OperatorURL == nil {
		return r
	}
	leader, _ := a.Log.Leader()
	if leader == "" || leader == a.Node {
		return r
	}
	base := a.OperatorURL(leader)
	if base == "" {
		return r
	}
	a.outcomes.WithLabelValues(operation(c), "redirected").Inc()
	return c.Redirect(http.StatusTemporaryRedirect, base+c.Request().URL.RequestURI())
}
