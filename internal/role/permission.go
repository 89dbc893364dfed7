package role

import (
	"fmt"
	"slices"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// DeniedError reports a session that the role in the peer's certificate may not
// open.
type DeniedError struct {
	Peer peer.Identity
	Kind message.Kind
}

// Error implements error.
func (e *DeniedError) Error() string {
	role := e.Peer.Role
	if role == "" {
		role = "no role"
	}
	return fmt.Sprintf("%s (%s in its certificate) may not open a session of kind %q", e.Peer.Name, role, e.Kind)
}

// openers lists, for each kind of message that begins a session, the roles that
// may send it. It limits a compromised process to the sessions of its own role: a
// sidecar's certificate can't claim or settle requests, and an entry's can't vote
// in the control VMs' elections.
var openers = func() map[message.Kind][]string {
	allowed := map[message.Kind][]string{
		message.KindReserve:             {peer.RoleEntry},
		message.KindStatusQuery:         {peer.RoleEntry, peer.RoleControl},
		message.KindFollow:              {peer.RoleEntry},
		message.KindClaim:               {peer.RoleEntry},
		message.KindSettle:              {peer.RoleEntry},
		message.KindQuery:               {peer.RoleEntry},
		message.KindRenew:               {peer.RoleEntry},
		message.KindAnnounce:            {peer.RoleSidecar},
		message.KindPermit:              {peer.RoleSidecar},
		message.KindWatch:               {peer.RoleEntry, peer.RoleSidecar},
		message.KindConfirm:             {peer.RoleControl},
		message.KindRouteWatch:          {peer.RoleForwarder, peer.RoleControl},
		message.KindPlaceOpen:           {peer.RoleForwarder},
		message.KindCrashReports:        {peer.RoleForwarder},
		message.KindQuotaAsk:            {peer.RoleForwarder},
		message.KindQuotaLease:          {peer.RoleControl},
		message.KindLimitAsk:            {peer.RoleForwarder},
		message.KindStreamRecordRequest: {peer.RoleForwarder},
		message.KindJoin:                {peer.RoleControl},
	}
	for _, kind := range message.AgreementKinds() {
		allowed[kind] = []string{peer.RoleControl}
	}
	return allowed
}()

// Permitted checks that a peer may open a session with a message of a kind. The
// error is a *DeniedError.
func Permitted(i peer.Identity, kind message.Kind) error {
	if slices.Contains(openers[kind], i.Role) {
		return nil
	}
	return &DeniedError{Peer: i, Kind: kind}
}
