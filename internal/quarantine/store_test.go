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

// A process that sends requests reports every crash, quarantines the request from the third crash
// on, and logs that. It allows the request again after a quarter of an hour at the latest.
func TestStoreOfAForwarder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var log bytes.Buffer
		logger, err := logging.New(settings.Log{}, &log) // this logger withholds values that may come from a caller
		is.NoErr(err)
		sent := 0
		s := New(Config{
			SendsRequests: true, Logger: logger,
			SendReports: func(reports []message.CrashReport) { sent = len(reports) },
		})
		for i := range Limit {
			_, quarantined := s.Quarantined(1)
			is.True(!quarantined)
			s.Crashed(1, message.BackendServer{Instance: fmt.Sprint(i)}, time.Time{})
			is.Equal(sent, i+1)
		}
		left, quarantined := s.Quarantined(1)
		is.True(quarantined)
		is.True(left >= 10*time.Minute)
		is.True(strings.Contains(log.String(), `"request held back, servers ended under it" fingerprint=0000000000000001 servers="0 1 2"`))
		time.Sleep(15 * time.Minute)
		_, quarantined = s.Quarantined(1)
		is.True(!quarantined)
		s.Crashed(1, message.BackendServer{Instance: "again"}, time.Time{})
		_, quarantined = s.Quarantined(1)
		is.True(quarantined)
		s.Answered(1)
		_, quarantined = s.Quarantined(1)
		is.True(!quarantined)
		is.True(strings.Contains(log.String(), "not held back any more"))
	})
}
