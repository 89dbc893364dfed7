package operator

import (
	"context"
	"encoding/json"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Group is the group of control VMs, as operators change it. Errors are
// *oriolebend.Problem values.
type Group interface {
	// Group returns this VM's view.
	Group() oriolebend.Group
	// AddMember adds a VM, which votes once it has caught up.
	AddMember(ctx context.Context, m message.Member) error
	// RemoveMember removes a VM.
	RemoveMember(ctx context.Context, name string) error
	// Transfer has this VM, if it leads, hand over to another.
	Transfer(ctx context.Context) error
}

func (a *api) groupRoutes(e *echo.Echo) {
	if a.Group == nil {
		return
	}
	e.GET("/v1/group", a.group)
	e.PUT("/v1/group/members/:name", a.addMember)
	e.DELETE("/v1/group/members/:name", a.removeMember)
	e.POST("/v1/group/transfer", a.transfer)
}

func (a *api) group(c *echo.Context) error { return a.done(c, "read", a.Group.Group()) }

func (a *api) addMember(c *echo.Context) error {
	var m oriolebend.GroupMember
	if err := json.NewDecoder(c.Request().Body).Decode(&m); err != nil {
		return refuse(oriolebend.ReasonMalformed, "the body is not a member: "+err.Error())
	}
	return a.changeGroup(c, func(ctx context.Context) error {
		return a.Group.AddMember(ctx, message.Member{
			Name: c.Param("name"), Address: m.Address, FailureDomain: m.FailureDomain,
		})
	})
}

func (a *api) removeMember(c *echo.Context) error {
	return a.changeGroup(c, func(ctx context.Context) error {
		return a.Group.RemoveMember(ctx, c.Param("name"))
	})
}

func (a *api) transfer(c *echo.Context) error { return a.changeGroup(c, a.Group.Transfer) }

// changeGroup carries a change out at the leader; others redirect to it. All
// changes may be asked for again.
func (a *api) changeGroup(c *echo.Context, change func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), a.WriteWithin)
	defer cancel()
	if err := change(ctx); err != nil {
		return a.refused(c, err, "")
	}
	who, _ := c.Get(whoKey).(string)
	a.Logger.Info("group of control VMs", "operation", operation(c), "member", c.Param("name"), "who", who)
	return a.done(c, "changed", a.Group.Group())
}
