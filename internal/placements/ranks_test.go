package placements

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/settings"
)

// Guards against a line without the refusals by rank: the log of a process withholds maps.
func TestRefusalsByRankAreLogged(t *testing.T) {
	is := is.New(t)
	var log bytes.Buffer
	logger, err := logging.New(settings.Log{}, &log)
	is.NoErr(err)
	logger.Info("places are short", "refusedByRank", rankCounts(map[int]int{2: 61, 0: 3, 10: 1}))
	is.True(strings.Contains(log.String(), `refusedByRank="0=3 2=61 10=1"`))
	is.Equal(rankCounts(nil), "")
}
