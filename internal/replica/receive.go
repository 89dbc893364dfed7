package replica

import (
	"slices"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// received feeds a message of a member to the reducer. Who is neither agreed
// nor configured as a member is not listened to: a process of another role
// could otherwise raise the term and unseat the leader.
func (r *Replica) received(m message.Message) {
	part, _ := message.AgreementPart(m)
	_, agreed := r.state.Member(part.From)
	named := func(m message.Member) bool { return m.Name == part.From }
	if !agreed && !slices.ContainsFunc(r.config.Members, named) {
		return
	}
	r.step(agreement.Received{Tick: r.tick(), Message: m})
}
