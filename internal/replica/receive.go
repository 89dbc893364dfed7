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

// received feeds a message of a member to the reducer. Who is neither agreed
// nor configured as a member is not listened to: a process of another role
// could otherwise raise the term and unseat the leader.
//
// Where the settings list only some of the members, all are listened to. A
// member that lost its folder, or was away while others joined, can't know the
// leader as a member before it has heard it; it would stay without a leader, and
// the loss of one more member would leave no quorum.
func (r *Replica) received(m message.Message) {
	part, _ := message.AgreementPart(m)
	_, agreed := r.state.Member(part.From)
	named := func(m message.Member) bool { return m.Name == part.From }
	if !agreed && r.config.AddressOf == nil && !slices.ContainsFunc(r.config.Members, named) {
		return
	}
	r.joinGeneration(part.Group)
	r.step(agreement.Received{Tick: r.tick(), Message: m})
}

// groupName is the group as its messages name it.
func groupName(group string, generation uint64) string {
	return fmt.Sprintf("%s/%d", group, generation)
}

// joinGeneration moves a member with an empty folder to the generation of the
// members that it meets. A new VM begins with the first one, and could not
// join a group that was ever restored.
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
