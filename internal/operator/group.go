package operator

import (
	"context"
	"encoding/json"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Group lets operators read and change the group of control VMs. Errors are
// *oriolebend.Problem values.
type Group interface {
	// Group returns this VM's view of the group.
	Group() oriolebend.Group
	// AddMember adds a VM. It votes once it has caught up with the log.
	AddMember(ctx context.Context, m message.Member) error
	// RemoveMember removes a VM.
	RemoveMember(ctx context.Context, name string) error
	// Transfer has this VM, if it leads, transfer its leadership to another.
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

func (a *api) group(c *echo.Context) error { return a.writeOK(c, "read", a.Group.Group()) }

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

// changeGroup executes a change if this VM leads, otherwise it redirects to the
// leader. Every change may be repeated.
func (a *api) changeGroup(c *echo.Context, change func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), a.WriteTimeout)
	defer cancel()
	if err := change(ctx); err != nil {
		return a.refuseOrRedirect(c, err, "")
	}
	who, _ := c.Get(whoKey).(string)
	a.Logger.Info("group of control VMs changed", "operation", operation(c), "member", c.Param("name"), "who", who)
	return a.writeOK(c, "changed", a.Group.Group())
}
