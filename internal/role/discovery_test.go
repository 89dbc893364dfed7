package role

import (
	"fmt"
	"path/filepath"
	"slices"
	"testing"
	"time"

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

// Guards against a second group, founded by a control VM that lost its disk and whose settings name no
// other one as a seed, while the others are down too: it would accept changes that are lost later.
func TestLostDiskFoundsNoGroup(t *testing.T) {
	s := newRouteSite(t)
	for _, control := range seededControls {
		s.startControl(control)
	}
	s.declare(1, "s")
	s.restarted = true
	lost, others := seededControls[0], seededControls[1:]
	for _, control := range others {
		s.kill(control)
	}
	s.seeds = []string{lost}
	s.loseDisk(lost)
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(pollInterval) {
		_, err := s.running[lost].Declare(t.Context(), routingTo(2, "s"), []byte("{}"))
		is.New(t).True(err != nil) // accepted by a VM without a log
	}
	for _, control := range others {
		s.startControl(control)
	}
	s.waitFor("the VM has the routing of the group", func() bool {
		current, _ := s.running[lost].routing.Current()
		return current.Version == 1
	})
}

// Guards against a group that is never founded, because a founder restarts before all have started.
func TestFounderThatRestartsFounds(t *testing.T) {
	s := newRouteSite(t)
	for _, control := range seededControls[:2] {
		s.startControl(control)
	}
	s.restarted = true
	for _, control := range seededControls[:2] {
		s.kill(control)
		s.startControl(control)
	}
	s.restarted = false
	s.startControl(seededControls[2])
	s.declare(1, "s")
}
