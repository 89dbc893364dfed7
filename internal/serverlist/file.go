// Package serverlist keeps the list of backend servers that a control VM knows in its data folder, so
// that they are known at once after a restart of all control VMs.
package serverlist

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/registry"
)

const (
	// fileName is the name of the file in the data folder.
	fileName = "servers"
	// format and version identify the content of the file. The version is increased with each change
	// that an earlier program can't read.
	format  = "oriolebend-servers"
	version = 1
	// maxAge is the age above which a list is not used: control VMs are back within seconds of a
	// failure, and after a longer stop servers may have been replaced.
	maxAge = time.Minute
)

// content is the content of the file.
type content struct {
	Format  string `cbor:"format"`
	Version int    `cbor:"version"`
	// Node is the control VM that wrote the file.
	Node string `cbor:"node"`
	// At is when the list was known, in milliseconds since 1970 by the clock of the VM.
	At      int64          `cbor:"at"`
	Servers []listedServer `cbor:"servers"`
}

// listedServer is one server of the file.
type listedServer struct {
	Server message.BackendServer `cbor:"1,keyasint"`
	// KnownAt is the At of the file from which the server was restored, zero if it has announced
	// itself since. Otherwise a server that has ended would be restored again after each of several
	// restarts in a row.
	KnownAt int64 `cbor:"2,keyasint,omitempty"`
	// Other is set if the server had last announced itself to another control VM.
	Other bool `cbor:"3,keyasint,omitempty"`
}

// List is a list of backend servers.
type List struct {
	Servers []message.BackendServer
	// Others names the servers that last announced themselves to another control VM.
	Others map[string]struct{}
}

// unusable returns why the file is not used, empty if it is.
func (c content) unusable(node string, now time.Time) string {
	age := now.Sub(time.UnixMilli(c.At))
	switch {
	case c.Format != format || c.Version != version:
		return "unknown format"
	case c.Node != node:
		return "written by another control VM"
	case age < 0:
		return "written in the future"
	case age > maxAge:
		return "too old"
	}
	return ""
}

// restorable returns the servers of the file that may still run, and the times at which they were
// known.
func (c content) restorable(now time.Time) (List, map[message.ServerStart]int64) {
	l, known := List{Others: map[string]struct{}{}}, map[message.ServerStart]int64{}
	for _, listed := range c.Servers {
		at := c.At
		if listed.KnownAt != 0 {
			at = listed.KnownAt
		}
		age := now.Sub(time.UnixMilli(at))
		if age < 0 || age > maxAge || !registry.Restorable(listed.Server) {
			continue
		}
		listed.Server.SlowFor = max(0, listed.Server.SlowFor-age)
		l.Servers = append(l.Servers, listed.Server)
		known[listed.Server.Start()] = at
		if listed.Other {
			l.Others[listed.Server.Instance] = struct{}{}
		}
	}
	return l, known
}

// toWrite returns the servers of a list to write. known are the times at which restored servers were
// known.
func (l List) toWrite(known map[message.ServerStart]int64) []listedServer {
	listed := make([]listedServer, 0, len(l.Servers))
	for _, server := range l.Servers {
		at := int64(0)
		if server.Unconfirmed {
			if at = known[server.Start()]; at == 0 {
				continue // another control VM restored it, and keeps it itself
			}
			server.Unconfirmed = false
		}
		if registry.Restorable(server) {
			_, other := l.Others[server.Instance]
			listed = append(listed, listedServer{Server: server, KnownAt: at, Other: other})
		}
	}
	return listed
}

// sameList reports whether two lists differ only in what each announcement changes.
func sameList(a, b []listedServer) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		x, y := a[i], b[i]
		x.Server.Sequence, x.Server.SlowFor = y.Server.Sequence, y.Server.SlowFor
		if x != y {
			return false
		}
	}
	return true
}
