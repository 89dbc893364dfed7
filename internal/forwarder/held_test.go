package forwarder

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/memorybudget"
	"github.com/oriolebend/oriolebend/internal/quarantine"
)

const (
	// roomBytes is the memory limit of a site that can't hold long answers.
	roomBytes  = 256 << 10
	longAnswer = 1 << 20
	longBody   = 100 << 10
)

func smallRoom(c *Config) { c.Held = memorybudget.New(memorybudget.Config{Limit: roomBytes}) }

// answersLong answers with a long body; if cut is set, only a part of it is sent.
func answersLong(cut bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Length", strconv.Itoa(longAnswer))
		length := longAnswer
		if cut {
			length /= 2
		}
		_, _ = io.WriteString(w, strings.Repeat("x", length))
		if cut {
			panic(http.ErrAbortHandler)
		}
	}
}

func (s *site) allGivenBack() {
	s.t.Helper()
	is := is.New(s.t)
	for began := time.Now(); ; time.Sleep(time.Millisecond) {
		held := s.forwarder.config.Held
		if held.Held(memorybudget.Request)+held.Held(memorybudget.Answer) == 0 {
			return
		}
		is.True(time.Since(began) < 5*time.Second) // memory was not released
	}
}

// Guards against long answers that are refused, or that take unlimited memory, when there is no
// memory to hold them. They are forwarded as they arrive.
func TestLongAnswerIsForwardedWithoutMemory(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/"} {
		is := is.New(t)
		s := newSite(t, 0, smallRoom)
		s.server("a", "", answersLong(false))
		status, header, body := s.send(path, nil)
		is.Equal(status, http.StatusOK)
		is.Equal(header.Get("Content-Length"), strconv.Itoa(longAnswer))
		is.Equal(len(body), longAnswer)
		is.True(s.forwarder.config.Held.Refused(memorybudget.Answer) > 0)
		s.allGivenBack()
	}
}

// Guards against an incomplete answer that looks complete, because its server cut it off after a
// part of it had been forwarded.
func TestIncompleteAnswerDoesNotLookComplete(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0, smallRoom)
	s.server("a", "", answersLong(true))
	status, _, body := s.send("/safe/", nil)
	is.Equal(status, http.StatusOK)
	is.True(strings.HasSuffix(body, "[cut]"))
	s.allGivenBack()
}

// Guards against a server that reads nothing and is sent all the bytes that this process may hold.
func TestServerThatReadsNothingIsSkipped(t *testing.T) {
	is := is.New(t)
	c := &inflightBytes{limit: 2 * longBody}
	is.True(c.add("stuck", longBody))
	is.True(c.add("stuck", longBody))
	is.True(!c.add("stuck", longBody))
	is.True(c.add("other", longBody))
	is.True(c.add("stuck", 0)) // a request of usual length
	c.remove("stuck", longBody)
	is.True(c.add("stuck", longBody))
	is.True(c.add("third", 10*longBody)) // a request that exceeds the limit alone is sent
}

// Guards against a request that is quarantined although its server crashed under many long requests
// that it could not hold.
func TestCrashUnderManyLongRequestsBlamesNone(t *testing.T) {
	is := is.New(t)
	c := &inflightBytes{}
	began := time.Now()
	is.True(c.add("server", overloadBytes))
	is.Equal(c.maxOthers("server", began, overloadBytes), int64(0)) // alone, it is to blame
	is.Equal(c.maxOthers("server", began, 0), int64(overloadBytes)) // a short request at the same time is not to blame
	is.True(c.add("server", overloadBytes))
	c.remove("server", overloadBytes) // both fail, one after the other
	is.Equal(c.maxOthers("server", began, overloadBytes), int64(overloadBytes))
	c.remove("server", overloadBytes)
	is.Equal(c.maxOthers("server", began, overloadBytes), int64(overloadBytes))
	time.Sleep(time.Millisecond)
	is.Equal(c.maxOthers("server", time.Now(), 0), int64(0)) // requests sent now meet no others
	is.Equal(c.maxOthers("elsewhere", began, 0), int64(0))
	c.servers["server"].samples = []byteSample{{at: time.Now().Add(-2 * historyPeriod)}}
	c.expire()
	is.Equal(len(c.servers), 0)
}

// Guards against a caller of long requests that is refused because they seem to crash servers.
func TestManyLongRequestsAreNotQuarantined(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	reached := s.crashers(8, "", 0)
	for _, v := range s.servers {
		is.True(s.forwarder.inflight.add(v.Address, 2*overloadBytes)) // requests of other callers
	}
	for range 8 {
		s.send("/safe/", nil)
		s.awaitProbes()
	}
	is.True(reached.Load() > 4)
	_, held := s.forwarder.config.Quarantine.Quarantined(quarantine.Suspects{Request: bodyFingerprint("/safe/")})
	is.True(!held)
}

func BenchmarkInflightBytesOfUsualRequests(b *testing.B) {
	c := &inflightBytes{limit: roomBytes}
	body := make([]byte, 5000)
	for b.Loop() {
		n := longBytes(body)
		c.add("server", n)
		c.remove("server", n)
	}
}
