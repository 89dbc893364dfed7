package cli

import (
	"context"
	"fmt"
	"io"
	"path/filepath"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/internal/peer"
)

func keysCommand(out io.Writer) *ff.Command {
	flags := ff.NewFlagSet("keys")
	folder := flags.StringLong("folder", "keys", "folder of the certificate authority and of the certificates and keys")
	return &ff.Command{
		Name:      "keys",
		Usage:     "oriolebend keys [--folder FOLDER] ROLE/NAME...",
		ShortHelp: "make or renew the certificates of processes",
		LongHelp: "The certificate authority in the folder signs the certificates; it is created if there\n" +
			"is none. Each process gets NAME.pem and NAME.key. Roles: entry, sidecar, control.\n" +
			"docs/certificates.md says which file goes where.\n\n" +
			"Example:\n  oriolebend keys --folder keys entry/entry-1 control/control-1 sidecar/planner-1",
		Flags: flags,
		Exec: func(_ context.Context, args []string) error {
			return keys(out, *folder, args)
		},
	}
}

// keys creates the certificates and keys of the named processes. It checks all names
// before it writes a file.
func keys(out io.Writer, folder string, names []string) error {
	if len(names) == 0 {
		return &UsageError{Text: "keys takes one ROLE/NAME or more, such as entry/entry-1"}
	}
	var identities []peer.Identity
	for _, name := range names {
		identity, err := peer.ParseIdentity(name)
		if err != nil {
			return &UsageError{Text: fmt.Sprintf("%q: allowed is ROLE/NAME, such as entry/entry-1", name)}
		}
		if !knownRole(identity.Role) {
			return &UsageError{Text: fmt.Sprintf("%q: allowed roles are entry, sidecar and control", name)}
		}
		identities = append(identities, identity)
	}
	if err := peer.IssueFiles(folder, identities...); err != nil {
		return err
	}
	for _, identity := range identities {
		fmt.Fprintf(out, "%s: %s\n", filepath.Join(folder, identity.Name+".pem"), identity.Role)
	}
	return nil
}

func knownRole(role string) bool {
	switch role {
	case peer.RoleEntry, peer.RoleForwarder, peer.RoleSidecar, peer.RoleControl:
		return true
	}
	return false
}
