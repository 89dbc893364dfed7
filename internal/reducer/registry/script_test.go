package registry

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// scriptStart is the time at which scripts begin.
var scriptStart = time.Date(2131, 3, 1, 0, 0, 0, 0, time.UTC)

// script simulates one control VM, or one forwarder that receives the reports of several.
type script struct {
	now   time.Time
	state *State
	view  *View
	// followed are the servers of a forwarder that applies each change of the view.
	followed Servers
}

// TestScripts runs the files of testdata/scripts. A block "control" feeds one
// control VM, a block "view" one forwarder; each line of a block is an event:
//
//	announce INSTANCE ADDRESS PHASE SEQUENCE [ROLE] [software=VERSION]
//	restore INSTANCE ADDRESS PHASE SEQUENCE [ROLE]
//	elsewhere INSTANCE PHASE [unconfirmed|changing]
//	withdraw INSTANCE | change-role INSTANCE DURATION | wait DURATION
//	report CONTROL [complete] INSTANCE[/HOST]:PHASE:SEQUENCE[:silent][:unconfirmed][:changing][:software=VERSION]...
//	lost CONTROL
//
// INSTANCE@N is incarnation N of an instance that reports its incarnation. HOST is the host of its
// address; the default is the instance's name, and "none" stands for a report without an address.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		s := &script{now: scriptStart, state: New(Config{}), view: NewView(), followed: Servers{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				words := strings.Fields(line)
				if d.Cmd == "control" {
					s.control(t, words, &out)
				} else {
					s.updateView(t, words)
				}
			}
			list := s.state.Servers()
			if d.Cmd == "view" {
				list = s.follow()
			}
			for _, server := range list {
				fmt.Fprintln(&out, "known "+text(server))
			}
			return out.String()
		})
	})
}

func (s *script) control(t *testing.T, words []string, out *strings.Builder) {
	t.Helper()
	var event Event
	switch words[0] {
	case "announce", "restore":
		name, incarnation := start(t, words[1])
		server := message.BackendServer{
			Instance: name, Incarnation: incarnation, Address: words[2], Service: "s",
			Phase: message.ServerPhase(words[3]), Sequence: count(t, words[4]),
		}
		server.SoftwareVersion = software(words[5:])
		if len(words) > 5 && server.SoftwareVersion == "" {
			server.Role = oriolebend.PoolRole(words[5])
		}
		event = Announced{At: s.now, Server: server}
		if words[0] == "restore" {
			event = Restored{At: s.now, Servers: []message.BackendServer{server}}
		}
	case "elsewhere":
		name, incarnation := start(t, words[1])
		event = ReportedElsewhere{Server: message.BackendServer{
			Instance: name, Incarnation: incarnation, Phase: message.ServerPhase(words[2]),
			Unconfirmed: slices.Contains(words, "unconfirmed"), Changing: slices.Contains(words, "changing"),
		}}
	case "withdraw":
		name, incarnation := start(t, words[1])
		event = Withdrawn{At: s.now, Instance: name, Incarnation: incarnation}
	case "change-role":
		name, incarnation := start(t, words[1])
		event = RoleChangeOrdered{Instance: name, Incarnation: incarnation, Until: s.now.Add(duration(t, words[2]))}
	case "wait":
		s.now = s.now.Add(duration(t, words[1]))
		event = Ticked{At: s.now}
	}
	for _, effect := range Reduce(s.state, event) {
		if dropped, ok := effect.(Dropped); ok {
			fmt.Fprintln(out, "drop "+text(dropped.Server), "elsewhere:", dropped.Elsewhere)
			continue
		}
		fmt.Fprintln(out, "send "+text(effect.(Changed).Server))
	}
}

// follow applies the changes of the view, and lists all servers that are known then.
func (s *script) follow() []message.BackendServer {
	s.followed.Apply(s.view.Changes(s.now))
	return s.followed.List()
}

func (s *script) updateView(t *testing.T, words []string) {
	t.Helper()
	switch words[0] {
	case "wait":
		s.now = s.now.Add(duration(t, words[1]))
	case "lost":
		s.view.SessionEnded(s.now, words[1])
	case "report":
		complete := len(words) > 2 && words[2] == "complete"
		var servers []message.BackendServer
		for _, word := range words[2:] {
			if parts := strings.Split(word, ":"); len(parts) > 2 {
				named, host, elsewhere := strings.Cut(parts[0], "/")
				name, incarnation := start(t, named)
				if !elsewhere {
					host = name
				}
				address := host + ":1"
				if host == "none" {
					address = ""
				}
				servers = append(servers, message.BackendServer{
					Instance: name, Incarnation: incarnation, Address: address, Phase: message.ServerPhase(parts[1]),
					Sequence: count(t, parts[2]), Silent: slices.Contains(parts[3:], "silent"),
					Unconfirmed: slices.Contains(parts[3:], "unconfirmed"), Changing: slices.Contains(parts[3:], "changing"),
					SoftwareVersion: software(parts[3:]),
				})
			}
		}
		s.view.Update(s.now, words[1], complete, servers)
	}
}

func text(s message.BackendServer) string {
	name := s.Instance
	if s.Incarnation != 0 {
		name = fmt.Sprintf("%s@%d", name, s.Incarnation)
	}
	words := []string{name, s.Address, string(s.Phase)}
	if s.Role != "" {
		words = append(words, string(s.Role))
	}
	if s.Silent {
		words = append(words, "silent")
	}
	if s.Unconfirmed {
		words = append(words, "unconfirmed")
	}
	if s.Changing {
		words = append(words, "changing")
	}
	if s.SoftwareVersion != "" {
		words = append(words, softwarePrefix+s.SoftwareVersion)
	}
	return strings.Join(words, " ")
}

// softwarePrefix precedes a software version.
const softwarePrefix = "software="

// software returns the software version among the words, empty if there is none.
func software(words []string) string {
	for _, word := range words {
		if version, found := strings.CutPrefix(word, softwarePrefix); found {
			return version
		}
	}
	return ""
}

// start parses INSTANCE or INSTANCE@N.
func start(t *testing.T, word string) (string, uint64) {
	t.Helper()
	name, number, found := strings.Cut(word, "@")
	if !found {
		return name, 0
	}
	return name, count(t, number)
}

func count(t *testing.T, word string) uint64 {
	t.Helper()
	n, err := strconv.ParseUint(word, 10, 64)
	is.New(t).NoErr(err)
	return n
}

func duration(t *testing.T, word string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(word)
	is.New(t).NoErr(err)
	return d
}
