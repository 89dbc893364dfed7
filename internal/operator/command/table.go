package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// printJSON prints a value as indented JSON.
func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// printTable prints rows in aligned columns under a heading. The names in the heading are
// separated by blanks.
func printTable(out io.Writer, heading string, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(heading, " ", "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// specText returns the spec of a resource as JSON in one line.
func specText(r *oriolebend.Resource) string {
	if r == nil || r.Spec == nil {
		return "-"
	}
	text, err := json.Marshal(r.Spec)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

func printResources(out io.Writer, list []oriolebend.Resource) error {
	rows := make([][]string, 0, len(list))
	for _, r := range list {
		rows = append(rows, []string{string(r.Kind), r.Name, fmt.Sprint(r.Revision), specText(&r)})
	}
	return printTable(out, "KIND NAME REVISION SPEC", rows)
}

func printServers(out io.Writer, list []oriolebend.ServerStatus) error {
	rows := make([][]string, 0, len(list))
	for _, s := range list {
		var loaded []string
		for _, m := range s.Server.Models {
			loaded = append(loaded, oriolebend.VersionName(m.Model, m.Version))
		}
		rows = append(rows, []string{
			s.Server.Name, s.Server.FailureDomain, orDash(s.Pool), string(s.Server.Role), string(s.Declared),
			string(s.Server.State), orDash(strings.Join(loaded, ",")), orDash(s.Progress), orDash(s.Detail),
		})
	}
	return printTable(out, "SERVER DOMAIN POOL ROLE DECLARED STATE HOLDS PROGRESS DETAIL", rows)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func printStatus(out io.Writer, status oriolebend.Status) error {
	fmt.Fprintf(out, "revision %d, %s\n", status.Revision, status.Text)
	fmt.Fprintf(out, "answered by %s, leader %s\n", status.Control, orDash(status.Leader))
	if len(status.Pools) == 0 {
		return nil
	}
	rows := make([][]string, 0, len(status.Pools))
	for _, p := range status.Pools {
		rows = append(rows, []string{
			p.Name, p.Declared, fmt.Sprintf("%d/%d", p.Settled, p.Servers), fmt.Sprint(p.Serving), fmt.Sprint(p.MinServers),
		})
	}
	if err := printTable(out, "POOL DECLARED REACHED SERVING MINIMUM", rows); err != nil {
		return err
	}
	for _, p := range status.Pools {
		for _, s := range p.Rest {
			fmt.Fprintf(out, "%s: %s %s\n", p.Name, s.Server.Name, s.Detail)
		}
	}
	return nil
}

func printAudit(out io.Writer, list []oriolebend.AuditEntry) error {
	rows := make([][]string, 0, len(list))
	for _, e := range list {
		key := oriolebend.ResourceKey{Kind: e.Kind, Name: e.Name}
		rows = append(rows, []string{
			fmt.Sprint(e.Revision), e.At.UTC().Format(time.RFC3339), e.Who, string(e.Action), key.String(), specText(e.Resource),
		})
	}
	return printTable(out, "REVISION AT WHO ACTION RESOURCE SPEC", rows)
}

func printEvent(out io.Writer, e oriolebend.WatchEvent) {
	switch {
	case e.Snapshot:
		fmt.Fprintln(out, "-\tsnapshot: all that is known follows")
	case e.Resource != nil && e.Resource.Deleted:
		fmt.Fprintf(out, "%d\t%s\tdeleted\n", e.Revision, e.Resource.Key())
	case e.Resource != nil:
		fmt.Fprintf(out, "%d\t%s\t%s\n", e.Revision, e.Resource.Key(), specText(e.Resource))
	case e.Server != nil:
		fmt.Fprintf(out, "%d\tserver %s\t%s\n", e.Revision, e.Server.Name, e.Server.State)
	}
}
