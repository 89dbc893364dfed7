package identity

import (
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

func TestKeys(t *testing.T) {
	is := is.New(t)
	keys := Keys[string]{oriolebend.DigestKey("second"): "b", oriolebend.DigestKey(""): "nobody"}
	keys.Add("first", "a")
	for key, want := range map[string]string{"first": "a", "second": "b", "third": "", "": "", "firs": ""} {
		owner, found := keys.Owner(key)
		is.Equal(owner, want)
		is.Equal(found, want != "")
	}
}
