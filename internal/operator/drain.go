package operator

import (
	"fmt"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// drain declares that a server is leaving, that it is stopping with ?stop=true, or
// that it is serving again with ?undo=true. The other declared fields of the server
// stay unchanged. Unless ?force=true, drain refuses to leave a pool with fewer
// serving servers than its minimum.
func (a *api) drain(c *echo.Context) error {
	key := oriolebend.ResourceKey{Kind: oriolebend.KindServer, Name: c.Param("name")}
	order, err := a.newOrder(c, oriolebend.ActionApply, key)
	if err != nil {
		return err
	}
	if first, found := a.firstAnswer(order); found {
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
		return a.refuseOrRedirect(c, err, order.OrderID)
	}
	if result.Outcome == oriolebend.ChangeOrderReused {
		// An earlier attempt of this order was applied after the lookup above.
		if first, found := a.firstAnswer(order); found {
			result = first
		}
	}
	return a.answer(c, result)
}

// firstAnswer returns the answer that an earlier attempt of an order got. Resending
// a drain does not produce an equal order, since the first attempt changed the
// revision that the second expects.
func (a *api) firstAnswer(order declared.Order) (oriolebend.ChangeResult, bool) {
	var result oriolebend.ChangeResult
	var found bool
	a.Store.Read(func(d *declared.State) { result, found = d.Answered(order.Who, order.OrderID) })
	return result, found
}

func (a *api) prepareDrain(c *echo.Context, order *declared.Order) error {
	view := a.Store.View()
	spec := oriolebend.DeclaredServer{}
	current, isDeclared := view.Resources[order.Key()]
	if isDeclared {
		spec = *current.Spec.(*oriolebend.DeclaredServer)
	}
	if _, member := view.Servers[order.Name]; !member && !isDeclared {
		return refuse(oriolebend.ReasonUnknownRequest, "no server "+order.Name+" is declared or announced")
	}
	spec.State = requestedState(c)
	if order.Expect == nil {
		order.Expect = &current.Revision
	}
	order.Resource = &oriolebend.Resource{Kind: order.Kind, Name: order.Name, Spec: &spec}
	if c.QueryParam("force") == "true" || spec.State == oriolebend.ServerServing {
		return nil
	}
	return checkPoolMinimum(view, order.Name)
}

func requestedState(c *echo.Context) oriolebend.ServerState {
	switch {
	case c.QueryParam("undo") == "true":
		return oriolebend.ServerServing
	case c.QueryParam("stop") == "true":
		return oriolebend.ServerStopping
	}
	return oriolebend.ServerLeaving
}

// checkPoolMinimum refuses a drain that would leave a pool with fewer serving servers
// than its minimum. It reads the state of this VM and takes no lock: if operators
// drain two servers at the same time, both orders may pass and each operator gets the
// result of their own order. The second operator sees the first order in ?current=true
// reads.
func checkPoolMinimum(view declared.View, name string) error {
	server, member := view.Servers[name]
	if !member || server.State != oriolebend.ServerServing {
		return nil
	}
	pools := view.PoolServers()
	pool := view.Pool(pools[name])
	if pool == nil {
		return nil
	}
	remaining := 0
	for other, s := range view.Servers {
		target := view.TargetIn(s, pools[other])
		stays := s.State == oriolebend.ServerServing && target.State == oriolebend.ServerServing
		if other != name && pools[other] == pools[name] && stays {
			remaining++
		}
	}
	if remaining >= pool.MinServers {
		return nil
	}
	r := refuse(oriolebend.ReasonInvalidResource, fmt.Sprintf(
		"pool %s would keep %d serving servers of its minimum of %d; ?force=true drains all the same",
		pools[name], remaining, pool.MinServers))
	r.status = statusOf(oriolebend.ReasonRevisionRace)
	return r
}
