package command

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestPrintQuarantines checks the columns of a quarantine of two parts.
func TestPrintQuarantines(t *testing.T) {
	is := is.New(t)
	var out strings.Builder
	is.NoErr(printQuarantines(&out, []oriolebend.Quarantine{{
		Fingerprint: "0b", Kind: "part", Together: []string{"0a", "0b"}, Servers: []string{"i-1", "i-2"},
		LastCrash: time.Date(2131, 3, 1, 9, 0, 0, 0, time.UTC), Left: oriolebend.Duration(9 * time.Minute),
	}}))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(strings.Fields(lines[0]), strings.Fields("KIND FINGERPRINT TOGETHER SERVERS LAST-CRASH LEFT"))
	is.Equal(strings.Fields(lines[1]), strings.Fields("part 0b 0a,0b i-1,i-2 2131-03-01T09:00:00Z 9m0s"))
}
