package quarantine

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/settings"
)

// A process that sends requests tells each end, holds the request from the third on, and says
// so in its log; it lets it through again after a quarter of an hour at the latest.
func TestStoreOfAForwarder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		logger, err := logging.New(settings.Log{}, &log) // it withholds what may be a caller's
		is.NoErr(err)
		told := 0
		s := New(Config{
			SendsRequests: true, Logger: logger,
			SendReports: func(reports []message.CrashReport) { told = len(reports) },
		})
		for i := range Limit {
			_, held := s.Quarantined(1)
			is.True(!held)
			s.Crashed(1, message.BackendServer{Instance: fmt.Sprint(i)}, time.Time{})
			is.Equal(told, i+1)
		}
		left, held := s.Quarantined(1)
		is.True(held)
		is.True(left >= 10*time.Minute)
		is.True(strings.Contains(log.String(), `"request held back, servers ended under it" fingerprint=0000000000000001 servers="0 1 2"`))
		time.Sleep(15 * time.Minute)
		_, held = s.Quarantined(1)
		is.True(!held)
		s.Crashed(1, message.BackendServer{Instance: "again"}, time.Time{})
		_, held = s.Quarantined(1)
		is.True(held)
		s.Answered(1)
		_, held = s.Quarantined(1)
		is.True(!held)
		is.True(strings.Contains(log.String(), "not held back any more"))
	})
}
