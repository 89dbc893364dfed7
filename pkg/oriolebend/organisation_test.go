package oriolebend

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestKeyDigestText checks that a key is parsed from its own text or from its digest,
// and encoded as its digest only.
func TestKeyDigestText(t *testing.T) {
	is := is.New(t)
	var keys []KeyDigest
	is.NoErr(json.Unmarshal([]byte(`["a-secret"]`), &keys))
	is.Equal(keys[0], DigestKey("a-secret"))
	text, err := json.Marshal(keys)
	is.NoErr(err)
	is.True(!strings.Contains(string(text), "a-secret"))
	var again []KeyDigest
	is.NoErr(json.Unmarshal(text, &again))
	is.Equal(again, keys)
	for _, wrong := range []string{"", "sha256:", "sha256:a-secret", keys[0].String() + "00"} {
		var keyError *KeyError
		err := new(KeyDigest).UnmarshalText([]byte(wrong))
		is.True(errors.As(err, &keyError))
		is.True(!strings.Contains(err.Error(), "a-secret"))
	}
}

// TestQuotaCost checks that the cost of a request depends on the unit, and that a quota
// without a rate sets no bound.
func TestQuotaCost(t *testing.T) {
	is := is.New(t)
	is.Equal(Quota{}.Cost(5000), 1.0)
	is.Equal(Quota{Unit: QuotaTokens, PlainTokens: 200}.Cost(5000), 5000.0)
	is.Equal(Quota{Unit: QuotaTokens, PlainTokens: 200}.Cost(0), 200.0)
	is.True(!Quota{Burst: 5}.Bounded())
}
