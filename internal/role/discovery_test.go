package role

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// Guards against members and relays that do not find each other after a restart of all VMs, when the
// settings of relays name relays only, and those of members name members only.
func TestRelaysAreFoundAfterARestartOfAllVMs(t *testing.T) {
	is := is.New(t)
	s := newRouteSite(t)
	const ip = "127.0.1.5"
	for _, control := range seededControls {
		s.startControl(control)
	}
	s.declare(1, "s")
	relay, err := StartRelay(s.process(peer.RoleControl, ip))
	is.NoErr(err)
	for _, control := range seededControls {
		s.waitFor("the relay is saved", func() bool { return slices.Contains(s.savedControls(control), fmt.Sprintf("%s:%d", ip, s.port)) })
	}
	is.NoErr(relay.Stop(t.Context()))
	for _, control := range seededControls {
		s.kill(control)
	}
	for _, control := range seededControls {
		s.startControl(control)
	}
	s.seeds = []string{ip}
	relay, err = StartRelay(s.process(peer.RoleControl, ip))
	is.NoErr(err)
	defer func() { is.NoErr(relay.Stop(t.Context())) }()
	s.waitFor("the relay knows the leader", func() bool { return relay.LeaderIP() != "" })
}

// savedControls returns the control VMs in the data folder of a control VM.
func (s *routeSite) savedControls(ip string) []string {
	var saved savedControls
	_, err := disk.ReadNote(disk.OS{}, filepath.Join(s.folder, ip), controlsNote, &saved)
	is.New(s.t).NoErr(err)
	return saved.Addresses
}
