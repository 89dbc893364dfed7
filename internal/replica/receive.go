package replica

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/agreement"
)

// handleMessage passes a message of a member to the reducer. Messages of a process that is neither
// agreed nor configured as a member are ignored: a process of another role could otherwise raise
// the term and unseat the leader.
//
// If Config.AddressOf is set, the settings list only some of the members, and messages of every
// process are accepted. A member that lost its data folder, or was stopped while others joined,
// can't know that the leader is a member before it has received the leader's messages. It would
// stay without a leader, and the loss of one more member would leave no quorum.
func (r *Replica) handleMessage(m message.Message) {
	part, _ := message.AgreementPart(m)
	_, agreed := r.state.Member(part.From)
	named := func(m message.Member) bool { return m.Name == part.From }
	if !agreed && r.config.AddressOf == nil && !slices.ContainsFunc(r.config.Members, named) {
		return
	}
	r.joinGeneration(part.Group)
	r.step(agreement.Received{Tick: r.tick(), Message: m})
}

// groupName returns the name of the group in its messages.
func groupName(group string, generation uint64) string {
	return fmt.Sprintf("%s/%d", group, generation)
}

// joinGeneration moves a member with an empty log to the generation of the member that sent it a
// message. A new VM starts with the first generation, and could not join a group that was ever
// restored.
func (r *Replica) joinGeneration(group string) {
	number, ok := strings.CutPrefix(group, r.config.Group+"/")
	if !ok || group == r.state.Config.Group || r.state.Last() > 0 {
		return
	}
	generation, err := strconv.ParseUint(number, 10, 64)
	if err != nil || generation <= r.store.Identity().Generation {
		return
	}
	if err := r.store.SetGeneration(generation); err != nil {
		var typed *disk.Error
		if !errors.As(err, &typed) || typed.Fatal() {
			r.disk.fatal = err
		}
		return
	}
	r.step(agreement.GroupChanged{Tick: r.tick(), Group: group})
}
