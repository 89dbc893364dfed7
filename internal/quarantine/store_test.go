package quarantine

import (
	"bytes"
	"fmt"
	"strings"
	"sync/atomic"
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
		var sent atomic.Int32
		request := Suspects{Request: 1}
		s := New(Config{
			SendsRequests: true, Logger: logger,
			SendReports: func(reports []message.CrashReport) { sent.Store(int32(len(reports))) },
		})
		for i := range Limit {
			_, quarantined := s.Quarantined(request)
			is.True(!quarantined)
			s.Crashed(request, message.BackendServer{Instance: fmt.Sprint(i)}, time.Now(), time.Time{})
			is.Equal(sent.Load(), int32(i+1))
		}
		hold, quarantined := s.Quarantined(request)
		is.True(quarantined)
		is.True(hold.Left >= 10*time.Minute)
		is.Equal(hold.After, hold.Left)
		is.True(strings.Contains(log.String(), `"request held back, servers ended under it" fingerprint=0000000000000001 together=0000000000000001 servers="0 1 2"`))
		time.Sleep(15 * time.Minute)
		_, quarantined = s.Quarantined(request)
		is.True(!quarantined)
		s.Crashed(request, message.BackendServer{Instance: "again"}, time.Now(), time.Time{})
		_, quarantined = s.Quarantined(request)
		is.True(quarantined)
		time.Sleep(time.Second)
		s.Answered(request, time.Now())
		_, quarantined = s.Quarantined(request)
		is.True(!quarantined)
		is.True(strings.Contains(log.String(), "not held back any more"))
	})
}

// Guards against callers who are sent away for ten minutes for a part that crashes no servers. Another
// process that knows an answer to a request with the part says so within a second.
func TestStoreOfAPart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var sent, cancelled atomic.Int32 // a timer may change them
		s := New(Config{SendsRequests: true, SendReports: func([]message.CrashReport) { sent.Add(1) }})
		request := func(n int) Suspects { return Suspects{Request: Fingerprint(n + 10), Parts: []Fingerprint{1}} }
		s.Watch(request(100), func(Hold) { cancelled.Add(1) })
		s.Watch(Suspects{Request: 200}, func(Hold) { cancelled.Add(100) })
		s.Watch(request(300), func(Hold) { cancelled.Add(100) })() // ends at once
		for i := range Limit {
			s.Crashed(request(i), message.BackendServer{Instance: fmt.Sprint(i)}, time.Now(), time.Time{})
			time.Sleep(200 * time.Millisecond)
		}
		hold, quarantined := s.Quarantined(request(100))
		is.True(quarantined)
		is.Equal(hold.Kind, KindPart)
		is.Equal(hold.After, time.Second)
		is.Equal(cancelled.Load(), int32(0))
		time.Sleep(watchDelay)
		synctest.Wait()
		is.Equal(cancelled.Load(), int32(1))
		time.Sleep(time.Second)
		hold, _ = s.Quarantined(request(100))
		is.True(hold.After > 9*time.Minute)
		is.Equal(len(s.Entries()), 1)
		is.True(!s.Release(2))
		is.True(s.Release(1))
		_, quarantined = s.Quarantined(request(100))
		is.True(!quarantined)
		is.Equal(s.Reported(KindPart), Counts{Reported: 1})

		// The answer of this process is sent once, and not if another process has sent one.
		before := sent.Load()
		s.ApplyReports([]message.CrashReport{{Fingerprint: 1, Part: true, Instance: "other"}}, false)
		time.Sleep(100 * time.Millisecond)
		s.Answered(request(1), time.Now())
		time.Sleep(maxRefutationDelay)
		synctest.Wait()
		is.Equal(sent.Load(), before+1)
		s.ApplyReports([]message.CrashReport{{Fingerprint: 1, Part: true, Instance: "another"}}, false)
		time.Sleep(100 * time.Millisecond)
		s.Answered(request(1), time.Now())
		s.ApplyReports([]message.CrashReport{{Fingerprint: 1, Part: true, Instance: "another", AnsweredAge: time.Millisecond}}, false)
		time.Sleep(maxRefutationDelay)
		synctest.Wait()
		is.Equal(sent.Load(), before+1)
	})
}
