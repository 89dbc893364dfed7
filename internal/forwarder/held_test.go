package forwarder

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/heldbytes"
)

const (
	// roomBytes is the bound of a site without room for long answers.
	roomBytes  = 256 << 10
	longAnswer = 1 << 20
	longBody   = 100 << 10
)

func smallRoom(c *Config) { c.Held = heldbytes.New(heldbytes.Config{Limit: roomBytes}) }

// answersLong answers with a long body, of which only a part comes if cut is set.
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
		if held.Held(heldbytes.Request)+held.Held(heldbytes.Answer) == 0 {
			return
		}
		is.True(time.Since(began) < 5*time.Second) // bytes stay held
	}
}

// Guards against long answers that are refused, or take memory without bound, for want of
// room to hold them: they are passed on as they come.
func TestLongAnswerIsPassedOnWithoutRoom(t *testing.T) {
	for _, path := range []string{"/safe/", "/once/"} {
		is := is.New(t)
		s := newSite(t, 0, smallRoom)
		s.server("a", "", answersLong(false))
		status, header, body := s.ask(path, nil)
		is.Equal(status, http.StatusOK)
		is.Equal(header.Get("Content-Length"), strconv.Itoa(longAnswer))
		is.Equal(len(body), longAnswer)
		is.True(s.forwarder.config.Held.Refused(heldbytes.Answer) > 0)
		s.allGivenBack()
	}
}

// Guards against half an answer that looks whole, as its server broke off when a part of it
// had been passed on.
func TestHalfAnAnswerDoesNotLookWhole(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0, smallRoom)
	s.server("a", "", answersLong(true))
	status, _, body := s.ask("/safe/", nil)
	is.Equal(status, http.StatusOK)
	is.True(strings.HasSuffix(body, "[cut]"))
	s.allGivenBack()
}

// Guards against a server that takes nothing and is sent all that this process may hold.
func TestServerThatTakesNothingIsPassedOver(t *testing.T) {
	is := is.New(t)
	c := &crowds{most: 2 * longBody}
	is.True(c.enter("deaf", longBody))
	is.True(c.enter("deaf", longBody))
	is.True(!c.enter("deaf", longBody))
	is.True(c.enter("other", longBody))
	is.True(c.enter("deaf", 0)) // of usual length
	c.leave("deaf", longBody)
	is.True(c.enter("deaf", longBody))
	is.True(c.enter("third", 10*longBody)) // one that is longer by itself can be sent
}

// Guards against a request that is held back as one that crashes servers, though its server
// ended under many long ones that it could not hold.
func TestEndUnderManyLongRequestsBlamesNone(t *testing.T) {
	is := is.New(t)
	c := &crowds{}
	began := time.Now()
	is.True(c.enter("server", crowdBytes))
	is.Equal(c.beside("server", began, crowdBytes), int64(0)) // alone, it is to blame
	is.Equal(c.beside("server", began, 0), int64(crowdBytes)) // a ping beside it is not
	is.True(c.enter("server", crowdBytes))
	c.leave("server", crowdBytes) // both break off, one after the other
	is.Equal(c.beside("server", began, crowdBytes), int64(crowdBytes))
	c.leave("server", crowdBytes)
	is.Equal(c.beside("server", began, crowdBytes), int64(crowdBytes))
	time.Sleep(time.Millisecond)
	is.Equal(c.beside("server", time.Now(), 0), int64(0)) // what is sent now meets nobody
	is.Equal(c.beside("elsewhere", began, 0), int64(0))
	c.servers["server"].sums = []crowdSum{{at: time.Now().Add(-2 * crowdKept)}}
	c.expire()
	is.Equal(len(c.servers), 0)
}

// Guards against a caller of long requests that is told that they crash servers.
func TestManyLongRequestsAreNotHeldBack(t *testing.T) {
	is := is.New(t)
	s := newSite(t, 0)
	reached := s.crashers(8, "", 0)
	for _, v := range s.servers {
		is.True(s.forwarder.crowds.enter(v.Address, 2*crowdBytes)) // others' requests
	}
	for range 8 {
		s.ask("/safe/", nil)
		s.looked()
	}
	is.True(reached.Load() > 4)
	_, held := s.forwarder.config.Quarantine.Quarantined(bodyFingerprint("/safe/"))
	is.True(!held)
}

func BenchmarkCrowdOfUsualRequests(b *testing.B) {
	c := &crowds{most: roomBytes}
	body := make([]byte, 5000)
	for b.Loop() {
		n := longBytes(body)
		c.enter("server", n)
		c.leave("server", n)
	}
}
