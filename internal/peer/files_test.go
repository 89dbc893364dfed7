package peer_test

import (
	"context"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/peer"
)

func pair(dir, name string) peer.Files {
	return peer.Files{
		Certificate: filepath.Join(dir, name+".pem"),
		Key:         filepath.Join(dir, name+".key"),
		Authority:   filepath.Join(dir, "authority.pem"),
	}
}

// issued creates a folder with an authority and pairs for a and b.
func issued(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	is.New(t).NoErr(peer.IssueFiles(dir, peer.Identity{Role: "entry", Name: "a"}, peer.Identity{Role: "sidecar", Name: "b"}))
	return dir
}

func TestIssuedFilesConnect(t *testing.T) {
	i := is.New(t)
	dir := issued(t)
	a, err := peer.LoadFiles(pair(dir, "a"))
	i.NoErr(err)
	b, err := peer.LoadFiles(pair(dir, "b"))
	i.NoErr(err)
	s := newSite(t)
	gate := s.listen(t, "", func(c *peer.Config) { c.Credentials = b })
	session, err := s.listen(t, "", func(c *peer.Config) { c.Credentials = a }).Open(t.Context(), gate.Address())
	i.NoErr(err)
	i.Equal(peer.IdentityOf(session), peer.Identity{Role: "sidecar", Name: "b"})
	info, err := os.Stat(filepath.Join(dir, "a.key"))
	i.NoErr(err)
	i.Equal(info.Mode().Perm(), os.FileMode(0o600))
}

func TestLoadFilesRefuses(t *testing.T) {
	foreign := issued(t)
	write := func(name, text string) func(string) {
		return func(dir string) { _ = os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600) }
	}
	replace := func(name, from string) func(string) {
		return func(dir string) { _ = os.Rename(filepath.Join(dir, from), filepath.Join(dir, name)) }
	}
	cases := []struct {
		name   string
		damage func(dir string)
		want   peer.Code
	}{
		{"missingCertificate", func(dir string) { _ = os.Remove(filepath.Join(dir, "a.pem")) }, peer.CodeMissingFile},
		{"missingKey", func(dir string) { _ = os.Remove(filepath.Join(dir, "a.key")) }, peer.CodeMissingFile},
		{"missingAuthority", func(dir string) { _ = os.Remove(filepath.Join(dir, "authority.pem")) }, peer.CodeMissingFile},
		{"noPEM", write("a.pem", "hello"), peer.CodeMalformedFile},
		{"noKey", write("a.key", "hello"), peer.CodeMalformedFile},
		{"badDER", write("a.pem", "-----BEGIN CERTIFICATE-----\nAAAA\n-----END CERTIFICATE-----\n"), peer.CodeMalformedFile},
		{"keyOfOther", replace("a.key", "b.key"), peer.CodeKeyMismatch},
		{"certificateOfOther", replace("a.pem", "b.pem"), peer.CodeKeyMismatch},
		{"otherAuthority", func(dir string) { replace("authority.pem", "../"+filepath.Base(foreign)+"/authority.pem")(dir) }, peer.CodeWrongAuthority},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			i := is.New(t)
			dir := filepath.Join(filepath.Dir(foreign), filepath.Base(t.Name()))
			i.NoErr(peer.IssueFiles(dir, peer.Identity{Role: "entry", Name: "a"}, peer.Identity{Role: "entry", Name: "b"}))
			c.damage(dir)
			_, err := peer.LoadFiles(pair(dir, "a"))
			i.Equal(peer.CodeOf(err), c.want)
		})
	}
	_, err := peer.LoadFiles(peer.Files{})
	is.New(t).Equal(peer.CodeOf(err), peer.CodeMissingFile)
}

// Guards against a renewed certificate that is used only after a restart, and against a
// partially replaced pair that ends the process: the certificate is replaced before its
// key, and the previous pair must stay in use until both match.
func TestReload(t *testing.T) {
	i := is.New(t)
	dir := issued(t)
	c, err := peer.LoadFiles(pair(dir, "a"))
	i.NoErr(err)
	first := c.Material().Certificate.Leaf
	key, err := os.ReadFile(filepath.Join(dir, "a.key"))
	i.NoErr(err)
	i.NoErr(peer.IssueFiles(dir, peer.Identity{Role: "entry", Name: "a"}))
	renewed, err := os.ReadFile(filepath.Join(dir, "a.key"))
	i.NoErr(err)
	i.NoErr(os.WriteFile(filepath.Join(dir, "a.key"), key, 0o600))
	i.Equal(peer.CodeOf(c.Reload()), peer.CodeKeyMismatch)
	i.True(c.Material().Certificate.Leaf.Equal(first))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go c.Watch(ctx, time.Millisecond, slog.New(slog.DiscardHandler))
	i.NoErr(os.WriteFile(filepath.Join(dir, "a.key"), renewed, 0o600))
	for c.Material().Certificate.Leaf.Equal(first) {
		time.Sleep(time.Millisecond)
	}
}

// Guards against new connections that use the old certificate until it expires after a
// renewal, because the endpoint kept the credentials that it started with.
func TestReloadReachesNextConnection(t *testing.T) {
	i := is.New(t)
	dir := issued(t)
	c, err := peer.LoadFiles(pair(dir, "b"))
	i.NoErr(err)
	a, err := peer.LoadFiles(pair(dir, "a"))
	i.NoErr(err)
	s := newSite(t)
	gate := s.listen(t, "", func(config *peer.Config) { config.Credentials = c })
	i.NoErr(peer.IssueFiles(dir, peer.Identity{Role: "control", Name: "b"}))
	i.NoErr(c.Reload())
	session, err := s.listen(t, "", func(config *peer.Config) { config.Credentials = a }).Open(t.Context(), gate.Address())
	i.NoErr(err)
	i.Equal(peer.IdentityOf(session).Role, "control")
}

// Guards against processes that refuse each other after keys were issued for one more
// process, because a lost authority was silently replaced by a new one.
func TestAuthorityIsKept(t *testing.T) {
	i := is.New(t)
	dir := issued(t)
	before, err := os.ReadFile(filepath.Join(dir, "authority.pem"))
	i.NoErr(err)
	i.NoErr(peer.IssueFiles(dir, peer.Identity{Role: "entry", Name: "c"}))
	after, err := os.ReadFile(filepath.Join(dir, "authority.pem"))
	i.NoErr(err)
	i.Equal(after, before)
	i.NoErr(os.Remove(filepath.Join(dir, "authority.key")))
	i.Equal(peer.CodeOf(peer.IssueFiles(dir, peer.Identity{Role: "entry", Name: "c"})), peer.CodeMissingFile)
}

func TestParseIdentity(t *testing.T) {
	i := is.New(t)
	got, err := peer.ParseIdentity("entry/entry-1")
	i.NoErr(err)
	i.Equal(got, peer.Identity{Role: "entry", Name: "entry-1"})
	for _, text := range []string{"", "entry", "/a", "entry/", "entry/../a"} {
		_, err := peer.ParseIdentity(text)
		i.Equal(peer.CodeOf(err), peer.CodeNoName)
	}
}
