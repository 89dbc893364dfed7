package command

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/internal/disk"
	"github.com/oriolebend/oriolebend/internal/message"
)

// folderCommand returns the command for the data folder of a stopped control VM.
func folderCommand(out io.Writer) *ff.Command {
	return &ff.Command{
		Name: "folder", Usage: "oriolebend folder <inspect | backup | restore> [FLAGS]",
		ShortHelp: "check, back up and restore the data folder of a stopped control VM",
		LongHelp:  "Example:\n  oriolebend folder inspect /var/lib/oriolebend",
		Flags:     ff.NewFlagSet("folder"),
		Subcommands: []*ff.Command{
			folderInspectCommand(out), folderBackupCommand(out), folderRestoreCommand(out),
		},
	}
}

func folderInspectCommand(out io.Writer) *ff.Command {
	return &ff.Command{
		Name: "inspect", Usage: "oriolebend folder inspect FOLDER", Flags: ff.NewFlagSet("inspect"),
		ShortHelp: "read and check a data folder or a backup, without changing it",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return usage("folder inspect needs one folder")
			}
			return inspect(out, args[0])
		},
	}
}

func inspect(out io.Writer, folder string) error {
	content, err := disk.Read(disk.OS{}, folder)
	if err != nil {
		return err
	}
	last := content.Snapshot.Index
	if n := len(content.Entries); n > 0 {
		last = content.Entries[n-1].Index
	}
	fmt.Fprintf(out, "%s of group %s, generation %d: term %d, snapshot %d, last entry %d\n",
		content.Identity.Name, content.Identity.Group, content.Identity.Generation,
		content.Hard.Term, content.Snapshot.Index, last)
	if content.CutBytes > 0 {
		fmt.Fprintf(out, "%d bytes of a write that a crash cut short will be dropped\n", content.CutBytes)
	}
	return nil
}

func folderBackupCommand(out io.Writer) *ff.Command {
	return &ff.Command{
		Name: "backup", Usage: "oriolebend folder backup FOLDER BACKUP", Flags: ff.NewFlagSet("backup"),
		ShortHelp: "copy a data folder into a new one and check the copy",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return usage("folder backup needs the data folder and the backup's folder")
			}
			if err := disk.Backup(args[0], args[1]); err != nil {
				return err
			}
			return inspect(out, args[1])
		},
	}
}

func folderRestoreCommand(out io.Writer) *ff.Command {
	flags := ff.NewFlagSet("restore")
	name := flags.StringLong("name", "", "name of the control VM that will use the folder; empty keeps the backup's")
	generation := flags.Uint64Long("generation", 0, "generation of the folder, higher than any in use; zero means one more than the backup's")
	members := flags.StringListLong("member", "NAME=IP:PORT of each control VM of the restored group; none keeps the backup's")
	return &ff.Command{
		Name: "restore", Usage: "oriolebend folder restore [FLAGS] BACKUP FOLDER", Flags: flags,
		ShortHelp: "make a new data folder from a backup",
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 2 {
				return usage("folder restore needs the backup's folder and the new data folder")
			}
			config := disk.RestoreConfig{Name: *name, Generation: *generation}
			for _, m := range *members {
				member, address, ok := strings.Cut(m, "=")
				if !ok {
					return usage("--member is NAME=IP:PORT, not %q", m)
				}
				config.Members = append(config.Members,
					message.Member{Name: member, Address: address, Voter: true})
			}
			if err := disk.Restore(args[0], args[1], config); err != nil {
				return err
			}
			return inspect(out, args[1])
		},
	}
}
