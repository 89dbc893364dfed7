package role

import (
	"fmt"
	"slices"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// DeniedError tells that a certificate's role may not open such a session.
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

// openers lists, for each kind that begins a session, the roles that may send
// it. A process that someone took over is thereby kept to its own part: a
// sidecar's certificate can't claim or settle requests, and an entry's can't
// vote in the control VMs' elections.
var openers = func() map[message.Kind][]string {
	allowed := map[message.Kind][]string{
		message.KindReserve:      {peer.RoleEntry},
		message.KindStatusQuery:  {peer.RoleEntry, peer.RoleControl},
		message.KindFollow:       {peer.RoleEntry},
		message.KindClaim:        {peer.RoleEntry},
		message.KindSettle:       {peer.RoleEntry},
		message.KindQuery:        {peer.RoleEntry},
		message.KindRenew:        {peer.RoleEntry},
		message.KindAnnounce:     {peer.RoleSidecar},
		message.KindPermit:       {peer.RoleSidecar},
		message.KindWatch:        {peer.RoleEntry, peer.RoleSidecar},
		message.KindConfirm:      {peer.RoleControl},
		message.KindRouteWatch:   {peer.RoleForwarder, peer.RoleControl},
		message.KindPlaceOpen:    {peer.RoleForwarder},
		message.KindCrashReports: {peer.RoleForwarder},
		message.KindQuotaAsk:     {peer.RoleForwarder},
		message.KindLimitAsk:     {peer.RoleForwarder},
		message.KindJoin:         {peer.RoleControl},
	}
	for _, kind := range message.AgreementKinds() {
		allowed[kind] = []string{peer.RoleControl}
	}
	return allowed
}()

// Permitted checks that the peer may open a session with a message of the
// kind. The error is a *DeniedError.
func Permitted(i peer.Identity, kind message.Kind) error {
	if slices.Contains(openers[kind], i.Role) {
		return nil
	}
	return &DeniedError{Peer: i, Kind: kind}
}
