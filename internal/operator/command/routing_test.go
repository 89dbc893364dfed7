package command

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// TestPrintRouting checks that the organisations of a routing are printed with as much of
// the digests of their keys as tells the keys apart, and that the keys are not printed.
func TestPrintRouting(t *testing.T) {
	is := is.New(t)
	rank := 0
	var out strings.Builder
	err := printRouting(&out, oriolebend.Routing{
		Version: 2,
		Organisations: []oriolebend.Organisation{
			{
				Name: "harbour", Rank: &rank, Keys: []oriolebend.KeyDigest{oriolebend.DigestKey("secret"), oriolebend.DigestKey("other")},
				Quota: oriolebend.Quota{Unit: oriolebend.QuotaTokens, PerSecond: 47000, Burst: 100},
			},
			{Name: "depot"},
		},
	})
	is.NoErr(err)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(strings.Fields(lines[3]), strings.Fields("ORGANISATION RANK QUOTA KEYS"))
	is.Equal(strings.Fields(lines[4]), strings.Fields("harbour 0 47000 tokens/s, burst 100 sha256:2bb80d53,sha256:d9298a10"))
	is.Equal(strings.Fields(lines[5]), strings.Fields("depot - - -"))
	is.True(!strings.Contains(out.String(), "secret"))
}
