package settings_test

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"github.com/oriolebend/oriolebend/internal/settings"
)

// TestBadFiles runs the cases in testdata/bad: each is a settings file and the faults that
// are reported for it. "parse" reports the faults for every role, "check role=R" adds those
// for one role, and "only=KEY" limits the output to keys with that prefix.
func TestBadFiles(t *testing.T) {
	datadriven.Walk(t, "testdata/bad", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s, err := settings.Parse("f.toml", []byte(d.Input))
			if d.Cmd == "check" {
				var role, only string
				d.ScanArgs(t, "role", &role)
				d.MaybeScanArgs(t, "only", &only)
				return faultsOf(settings.Check(settings.Role(role), s), only)
			}
			return faultsOf(err, "")
		})
	})
}

// faultsOf formats each fault with its code.
func faultsOf(err error, only string) string {
	if err == nil {
		return "ok\n"
	}
	var b strings.Builder
	for _, fault := range err.(*settings.Errors).List {
		if strings.HasPrefix(fault.Key, only) {
			b.WriteString(string(fault.Code) + " " + fault.Error() + "\n")
		}
	}
	return b.String()
}
