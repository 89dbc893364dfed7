package operator

import (
	"fmt"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// drain declares a server leaving, stopping with ?stop=true, or serving again
// with ?undo=true, and keeps the rest of what is declared for it. It refuses to
// take a pool under its minimum unless ?force=true.
func (a *api) drain(c *echo.Context) error {
	key := oriolebend.ResourceKey{Kind: oriolebend.KindServer, Name: c.Param("name")}
	order, err := a.newOrder(c, oriolebend.ActionApply, key)
	if err != nil {
		return err
	}
	if first, found := a.answered(order); found {
		return a.answer(c, first)
	}
	if err := a.prepareDrain(c, &order); err != nil {
		return err
	}
	if c.QueryParam("dryRun") == "true" {
		return a.answer(c, a.dryRun(order))
	}
	result, err := a.propose(c.Request().Context(), order)
	if err != nil {
		return a.refused(c, err, order.OrderID)
	}
	if result.Outcome == oriolebend.ChangeOrderReused {
		// The first try of this order was applied after it was looked for.
		if first, found := a.answered(order); found {
			result = first
		}
	}
	return a.answer(c, result)
}

// answered looks up the first answer to an order. A drain is not the same
// order twice by its content: the first changed the revision that the second
// builds on.
func (a *api) answered(order declared.Order) (oriolebend.ChangeResult, bool) {
	var result oriolebend.ChangeResult
	var found bool
	a.Store.Read(func(d *declared.State) { result, found = d.Answered(order.Who, order.OrderID) })
	return result, found
}

func (a *api) prepareDrain(c *echo.Context, order *declared.Order) error {
	view := a.Store.View()
	spec := oriolebend.DeclaredServer{}
	held, isDeclared := view.Resources[order.Key()]
	if isDeclared {
		spec = *held.Spec.(*oriolebend.DeclaredServer)
	}
	if _, member := view.Servers[order.Name]; !member && !isDeclared {
		return refuse(oriolebend.ReasonUnknownRequest, "no server "+order.Name+" is declared or announced")
	}
	spec.State = drainedState(c)
	if order.Expect == nil {
		order.Expect = &held.Revision
	}
	order.Resource = &oriolebend.Resource{Kind: order.Kind, Name: order.Name, Spec: &spec}
	if c.QueryParam("force") == "true" || spec.State == oriolebend.ServerServing {
		return nil
	}
	return underMinimum(view, order.Name)
}

func drainedState(c *echo.Context) oriolebend.ServerState {
	switch {
	case c.QueryParam("undo") == "true":
		return oriolebend.ServerServing
	case c.QueryParam("stop") == "true":
		return oriolebend.ServerStopping
	}
	return oriolebend.ServerLeaving
}

// underMinimum refuses a drain that a pool can't bear. It draws on the state
// here and is no lock: operators who drain two servers at once are both told
// what they do, and the second sees the first in ?current=true reads.
func underMinimum(view declared.View, name string) error {
	server, member := view.Servers[name]
	if !member || server.State != oriolebend.ServerServing {
		return nil
	}
	pools := view.PoolServers()
	pool := view.Pool(pools[name])
	if pool == nil {
		return nil
	}
	rest := 0
	for other, s := range view.Servers {
		target := view.TargetIn(s, pools[other])
		stays := s.State == oriolebend.ServerServing && target.State == oriolebend.ServerServing
		if other != name && pools[other] == pools[name] && stays {
			rest++
		}
	}
	if rest >= pool.MinServers {
		return nil
	}
	r := refuse(oriolebend.ReasonInvalidResource, fmt.Sprintf(
		"pool %s would keep %d serving servers of its minimum of %d; ?force=true drains all the same",
		pools[name], rest, pool.MinServers))
	r.status = statusOf(oriolebend.ReasonRevisionRace)
	return r
}
