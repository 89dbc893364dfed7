package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/reducer/control"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// maxOrderIDBytes limits the length of an order id, since answers are stored under
// it.
const maxOrderIDBytes = 128

// putBody is the body of a PUT: a resource as GET returns it, or only its spec.
type putBody struct {
	Kind     oriolebend.ResourceKind `json:"kind"`
	Name     string                  `json:"name"`
	Revision *uint64                 `json:"revision"`
	Spec     json.RawMessage         `json:"spec"`
}

func (a *api) put(c *echo.Context) error {
	order, err := a.newOrder(c, oriolebend.ActionApply, keyOf(c))
	if err != nil {
		return err
	}
	body, err := readBody(c, order.Key())
	if err != nil {
		return err
	}
	if order.Expect == nil {
		order.Expect = body.Revision
	}
	resource, err := oriolebend.ReadSpec(order.Key(), body.Spec)
	if err != nil {
		return a.invalid(order, err)
	}
	order.Resource = &resource
	return a.execute(c, order)
}

func readBody(c *echo.Context, key oriolebend.ResourceKey) (putBody, error) {
	var body putBody
	data, err := io.ReadAll(c.Request().Body)
	if err != nil {
		return body, err
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, refuse(oriolebend.ReasonMalformed, "the body is not a resource: "+err.Error())
	}
	named := oriolebend.ResourceKey{Kind: body.Kind, Name: body.Name}
	if (body.Kind != "" || body.Name != "") && named != key {
		return body, refuse(oriolebend.ReasonMalformed, fmt.Sprintf("the body is of %s, the path of %s", named, key))
	}
	return body, nil
}

// invalid returns the refusal of a resource that fails its checks, with all
// problems that were found.
func (a *api) invalid(o declared.Order, err error) error {
	var fields *oriolebend.InvalidError
	if !errors.As(err, &fields) {
		return err
	}
	result := oriolebend.ChangeResult{
		Outcome: oriolebend.ChangeInvalid, OrderID: o.OrderID, Problems: fields.Fields,
	}
	a.Store.Read(func(d *declared.State) { result.Revision = d.Revision() })
	return resultRefusal(result)
}

func (a *api) remove(c *echo.Context) error {
	order, err := a.newOrder(c, oriolebend.ActionDelete, keyOf(c))
	if err != nil {
		return err
	}
	return a.execute(c, order)
}

// newOrder reads the parts of a request that all orders have in common.
func (a *api) newOrder(c *echo.Context, action oriolebend.ChangeAction, key oriolebend.ResourceKey) (declared.Order, error) {
	order := declared.Order{Action: action, Kind: key.Kind, Name: key.Name}
	order.Who, _ = c.Get(whoKey).(string)
	order.OrderID = c.Request().Header.Get(oriolebend.HeaderOrderID)
	if len(order.OrderID) > maxOrderIDBytes {
		return order, refuse(oriolebend.ReasonMalformed,
			oriolebend.HeaderOrderID+" is longer than "+strconv.Itoa(maxOrderIDBytes)+" bytes")
	}
	if order.OrderID == "" {
		order.OrderID = uuid.NewString()
	}
	c.Response().Header().Set(oriolebend.HeaderOrderID, order.OrderID)
	if c.QueryParam("expect") != "" {
		expect, err := numberParam(c, "expect")
		if err != nil {
			return order, err
		}
		order.Expect = &expect
	}
	return order, nil
}

// execute proposes an order to the log. For a dry run it only determines the
// result.
func (a *api) execute(c *echo.Context, order declared.Order) error {
	if c.QueryParam("dryRun") == "true" {
		return a.answer(c, a.dryRun(order))
	}
	result, err := a.propose(c.Request().Context(), order)
	if err != nil {
		return a.refuseOrRedirect(c, err, order.OrderID)
	}
	return a.answer(c, result)
}

func (a *api) dryRun(order declared.Order) oriolebend.ChangeResult {
	var result oriolebend.ChangeResult
	a.Store.Read(func(d *declared.State) { result = d.DryRun(order) })
	return result
}

// propose proposes an order to the log. It continues when the operator cancels the
// request or the connection breaks, since an order that is abandoned halfway is worse
// than one that is completed.
func (a *api) propose(ctx context.Context, order declared.Order) (oriolebend.ChangeResult, error) {
	return a.proposeCommand(ctx, declared.Command{At: time.Now(), Order: &order})
}

func (a *api) proposeCommand(ctx context.Context, c declared.Command) (oriolebend.ChangeResult, error) {
	var result oriolebend.ChangeResult
	command, err := control.Encode(control.PartDeclared, c)
	if err != nil {
		return result, err
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.WriteTimeout)
	defer cancel()
	reply, err := a.Log.Propose(ctx, command)
	if errors.Is(err, context.DeadlineExceeded) {
		return result, outcomeLost(err)
	}
	if err != nil {
		return result, err
	}
	return control.Decode[oriolebend.ChangeResult](reply)
}

// advance raises the revision counter to ?to= after a restore from a backup.
func (a *api) advance(c *echo.Context) error {
	to, err := numberParam(c, "to")
	if err != nil {
		return err
	}
	who, _ := c.Get(whoKey).(string)
	command := declared.Command{At: time.Now(), Advance: &declared.Advance{To: to, Who: who}}
	result, err := a.proposeCommand(c.Request().Context(), command)
	if err != nil {
		return a.refuseOrRedirect(c, err, "")
	}
	return a.answer(c, result)
}

func outcomeLost(cause error) error {
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonOutcomeLost, Ran: oriolebend.RanUnknown, Cause: cause,
		Detail: "the order may have been accepted; resend it under the same order id",
	}
}

// answer sends the result of an order to the operator.
func (a *api) answer(c *echo.Context, result oriolebend.ChangeResult) error {
	if result.Done() {
		outcome := string(result.Outcome)
		if result.Resent {
			outcome += "Resent"
		}
		return a.writeOK(c, outcome, result)
	}
	return resultRefusal(result)
}

// resultRefusal returns the refusal of an order that was not applied.
func resultRefusal(result oriolebend.ChangeResult) error {
	r := refuse(resultReasons[result.Outcome], resultDetail(result))
	r.result = &result
	r.orderID = result.OrderID
	if result.Outcome == oriolebend.ChangeInUse {
		r.status = statusOf(oriolebend.ReasonRevisionRace)
	}
	return r
}

var resultReasons = map[oriolebend.ChangeOutcome]oriolebend.Reason{
	oriolebend.ChangeRaced:       oriolebend.ReasonRevisionRace,
	oriolebend.ChangeMissing:     oriolebend.ReasonUnknownRequest,
	oriolebend.ChangeInvalid:     oriolebend.ReasonInvalidResource,
	oriolebend.ChangeInUse:       oriolebend.ReasonInvalidResource,
	oriolebend.ChangeOrderReused: oriolebend.ReasonKeyReused,
}

func resultDetail(result oriolebend.ChangeResult) string {
	switch result.Outcome {
	case oriolebend.ChangeRaced:
		return racedDetail(result)
	case oriolebend.ChangeMissing:
		return "there is no such resource"
	case oriolebend.ChangeOrderReused:
		return "the order id was used for another order"
	}
	return fmt.Sprintf("%d problems", len(result.Problems))
}

func racedDetail(result oriolebend.ChangeResult) string {
	if result.Winner == nil {
		return fmt.Sprintf("the resource is at revision %d", result.Revision)
	}
	w := result.Winner
	return fmt.Sprintf("%s by %s won at revision %d, on %s",
		w.Action, w.Who, w.Revision, w.At.UTC().Format(time.RFC3339))
}
