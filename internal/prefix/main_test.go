package prefix

import (
	"os"
	"testing"

	"github.com/oriolebend/oriolebend/internal/fixedseed"
)

func TestMain(m *testing.M) {
	os.Exit(fixedseed.Run(m))
}
