package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/routing"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Routing gives access to the declared routing and to the backend servers that
// announced themselves. Errors are *oriolebend.Problem values.
type Routing interface {
	// Declare proposes a routing to the log, with the document that readers of
	// the routing receive.
	Declare(ctx context.Context, r oriolebend.Routing, document []byte) (routing.Replaced, error)
	// Routing returns the routing in force after a quorum confirmed that it is the
	// newest.
	Routing(ctx context.Context) (routing.InForce, error)
	// Announce applies an announcement of a backend server. Withdraw removes a
	// server; incarnation is zero if the server did not report it.
	Announce(ctx context.Context, server message.BackendServer) error
	Withdraw(ctx context.Context, instance string, incarnation uint64) error
	// Backends lists the servers that announced themselves to this VM.
	Backends() []message.BackendServer
}

func (a *api) routingRoutes(e *echo.Echo) {
	if a.Routing == nil {
		return
	}
	e.GET("/v1/routing", a.readRouting)
	e.PUT("/v1/routing", a.declareRouting)
	e.GET("/v1/backends", a.backends)
	e.PUT("/v1/backends/:instance", a.announce)
	e.DELETE("/v1/backends/:instance", a.withdraw)
}

func (a *api) readRouting(c *echo.Context) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), a.WriteTimeout)
	defer cancel()
	current, err := a.Routing.Routing(ctx)
	if err != nil {
		return a.refuseOrRedirect(c, err, "")
	}
	if current.Version == 0 {
		return refuse(oriolebend.ReasonUnknownRequest, "no routing was declared yet")
	}
	return c.Blob(http.StatusOK, echo.MIMEApplicationJSON, current.Document)
}

// declareRouting replaces the routing. An unknown field is an error: otherwise it
// would be returned to readers but have no effect.
func (a *api) declareRouting(c *echo.Context) error {
	document, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return refuse(oriolebend.ReasonMalformed, "the body can't be read: "+err.Error())
	}
	var declared oriolebend.Routing
	decoder := json.NewDecoder(bytes.NewReader(document))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&declared); err != nil {
		return refuse(oriolebend.ReasonMalformed, "the body is not a routing: "+err.Error())
	}
	if err := declared.Check(); err != nil {
		return refuse(oriolebend.ReasonInvalidResource, err.Error())
	}
	if declared.NeedsKeys() {
		// Keys are stored and shown as digests, which can be declared again.
		if document, err = json.Marshal(declared); err != nil {
			return refuse(oriolebend.ReasonMalformed, "the body can't be kept: "+err.Error())
		}
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), a.WriteTimeout)
	defer cancel()
	replaced, err := a.Routing.Declare(ctx, declared, document)
	if err != nil {
		return a.refuseOrRedirect(c, err, "")
	}
	who, _ := c.Get(whoKey).(string)
	a.Logger.Info("routing declared", "version", declared.Version, "inForce", replaced.Version, "who", who)
	return a.writeOK(c, outcomeOK, oriolebend.RoutingResult{Version: replaced.Version, Changed: replaced.Changed})
}

func (a *api) backends(c *echo.Context) error {
	list := []oriolebend.Backend{}
	for _, s := range a.Routing.Backends() {
		list = append(list, oriolebend.Backend{
			Instance: s.Instance, Service: s.Service, Address: s.Address, FailureDomain: s.FailureDomain,
			Slots: s.Slots, Role: s.Role, Phase: string(s.Phase), Sequence: s.Sequence, Incarnation: s.Incarnation,
			SlowFor: oriolebend.Duration(s.SlowFor), Silent: s.Silent, SoftwareVersion: s.SoftwareVersion,
		})
	}
	return a.writeOK(c, outcomeOK, list)
}

// phases lists the phases that a backend server may announce.
var phases = []message.ServerPhase{message.PhaseReady, message.PhaseDraining, message.PhaseGone}

func (a *api) announce(c *echo.Context) error {
	var b oriolebend.Backend
	if err := json.NewDecoder(c.Request().Body).Decode(&b); err != nil {
		return refuse(oriolebend.ReasonMalformed, "the body is not a backend server: "+err.Error())
	}
	phase := message.ServerPhase(b.Phase)
	if b.Phase == "" {
		phase = message.PhaseReady
	}
	if b.Service == "" || b.Address == "" || !slices.Contains(phases, phase) {
		return refuse(oriolebend.ReasonInvalidResource, "a backend server needs a service, an address, and a phase of ready, draining or gone")
	}
	err := a.Routing.Announce(c.Request().Context(), message.BackendServer{
		Instance: c.Param("instance"), Service: b.Service, Address: b.Address, FailureDomain: b.FailureDomain,
		Slots: b.Slots, Role: b.Role, Phase: phase, Sequence: b.Sequence, Incarnation: b.Incarnation,
		SoftwareVersion: b.SoftwareVersion,
	})
	return a.acknowledge(c, err)
}

// withdraw removes a backend server that leaves. The query may name the incarnation
// that leaves.
func (a *api) withdraw(c *echo.Context) error {
	incarnation := uint64(0)
	if text := c.QueryParam("incarnation"); text != "" {
		var err error
		if incarnation, err = strconv.ParseUint(text, 10, 64); err != nil {
			return refuse(oriolebend.ReasonMalformed, "incarnation is not a whole number: "+text)
		}
	}
	return a.acknowledge(c, a.Routing.Withdraw(c.Request().Context(), c.Param("instance"), incarnation))
}

// acknowledge answers an announcement or a withdrawal, which failed if err is not nil.
func (a *api) acknowledge(c *echo.Context, err error) error {
	if err != nil {
		return a.refuseOrRedirect(c, err, "")
	}
	return a.writeOK(c, outcomeOK, struct{}{})
}
