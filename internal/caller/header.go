package caller

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/internal/settings"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

const (
	// maxKeyBytes bounds an idempotency key, which is stored in every record.
	maxKeyBytes = 128
	keyRule     = "1 to 128 letters, digits and -_.:~/+= are allowed"
	// maxDeadline bounds the deadline that a caller may set.
	maxDeadline = 24 * time.Hour
	// defaultOperation is the operation of a model request that names none.
	defaultOperation = "completion"
)

// newRequest returns a model request or call with the values that headers and
// settings determine. Its operation is defaultName if the caller names none.
func (h *handler) newRequest(r *http.Request, defaultName string) (entry.Request, error) {
	organisation, err := h.identify(r)
	if err != nil {
		return entry.Request{}, err
	}
	operation, err := h.operation(r, organisation, defaultName)
	if err != nil {
		return entry.Request{}, err
	}
	request := entry.Request{
		ID:            newID(),
		Scope:         message.Scope{Organisation: organisation.Name, Operation: operation.Name},
		FirstWithin:   operation.FirstWithin.Or(h.Policy.FirstWithin.Or(defaultFirst)),
		BetweenWithin: h.Policy.BetweenWithin.Or(defaultBetween),
		KeepRunning:   operation.KeepRunning,
	}
	if request.Scope.Key, request.Generated, err = keyOf(r); err != nil {
		return entry.Request{}, err
	}
	if request.Urgency, err = urgencyOf(r, organisation, operation.Urgency); err != nil {
		return entry.Request{}, err
	}
	request.Deadline, err = deadlineOf(r, time.Now())
	return request, err
}

// newID returns a new request ID; the IDs of one process sort by time.
func newID() string {
	return uuid.Must(uuid.NewV7()).String()
}

func (h *handler) operation(r *http.Request, o settings.Organisation, defaultName string) (settings.Operation, error) {
	name := r.Header.Get(HeaderOperation)
	if name == "" {
		name = defaultName
	}
	operation, found := h.operations[name]
	if !found && name != defaultName {
		return operation, refuse(oriolebend.ReasonMalformed, HeaderOperation+": no such operation is set")
	}
	if len(o.Operations) > 0 && !slices.Contains(o.Operations, name) {
		return operation, refuse(oriolebend.ReasonForbidden, fmt.Sprintf("the organisation may not ask for operation %q", name))
	}
	operation.Name = name
	return operation, nil
}

// keyOf returns the caller's idempotency key, or a generated one. Every request has
// a key, so that a caller can read it from the answer and retry safely.
func keyOf(r *http.Request) (key string, generated bool, err error) {
	values := r.Header.Values(HeaderKey)
	if len(values) == 0 {
		return newID(), true, nil
	}
	if len(values) > 1 || !validKey(values[0]) {
		return "", false, refuse(oriolebend.ReasonMalformed, HeaderKey+": one value; "+keyRule)
	}
	return values[0], false, nil
}

func validKey(key string) bool {
	if key == "" || len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if !keyByte(key[i]) {
			return false
		}
	}
	return true
}

func keyByte(b byte) bool {
	switch {
	case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9':
		return true
	}
	switch b {
	case '-', '_', '.', ':', '~', '/', '+', '=':
		return true
	}
	return false
}

// urgencyOf returns the urgency that the caller requests, or the urgency of its
// operation.
func urgencyOf(r *http.Request, o settings.Organisation, byOperation oriolebend.Urgency) (oriolebend.Urgency, error) {
	urgency := oriolebend.Urgency(r.Header.Get(HeaderUrgency))
	if urgency == "" {
		urgency = byOperation
	}
	if urgency == "" {
		urgency = oriolebend.Patient
	}
	if !urgency.Valid() {
		return "", refuse(oriolebend.ReasonMalformed, HeaderUrgency+`: "urgent" or "patient"`)
	}
	if len(o.Urgencies) > 0 && !slices.Contains(o.Urgencies, urgency) {
		return "", refuse(oriolebend.ReasonForbidden, fmt.Sprintf("the organisation may not ask for urgency %q", urgency))
	}
	return urgency, nil
}

// deadlineOf returns the time at which the caller stops waiting, or zero if it sets
// none.
func deadlineOf(r *http.Request, now time.Time) (time.Time, error) {
	value := r.Header.Get(HeaderDeadline)
	if value == "" {
		return time.Time{}, nil
	}
	wait, err := time.ParseDuration(value)
	if err != nil || wait <= 0 || wait > maxDeadline {
		return time.Time{}, refuse(oriolebend.ReasonMalformed, HeaderDeadline+`: a duration from now, such as "5s", of at most 24h`)
	}
	return now.Add(wait), nil
}
