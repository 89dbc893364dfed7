package memorybudget

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const mega = 1 << 20

// Guards against an unbounded sum of bodies.
func TestSumIsBounded(t *testing.T) {
	is := is.New(t)
	a := New(Config{Limit: 40 * mega, PeerShare: 1})
	accepted := 0
	for range 120 {
		if a.Open(Request, "10.0.0.1").Grow(3900<<10) == nil {
			accepted++
		}
	}
	is.Equal(accepted, 7) // 30 of 40 MB: the remaining 10 MB are for small bodies
	is.NoErr(a.Open(Request, "10.0.0.2").Grow(5000))
}

// Guards against one peer that uses the bytes that other peers need.
func TestShareOfAPeerIsBounded(t *testing.T) {
	is := is.New(t)
	a := New(Config{Limit: 40 * mega})
	for range 5 {
		is.NoErr(a.Open(Request, "greedy").Grow(4 * mega))
	}
	var full *FullError
	is.True(errors.As(a.Open(Request, "greedy").Grow(4*mega), &full))
	is.True(full.Peer)
	is.NoErr(a.Open(Request, "other").Grow(4 * mega))
	is.NoErr(a.Open(Request, "greedy").Grow(SmallBytes))
	is.Equal(a.Refused(Request), uint64(1))
}

// Guards against bytes that are never released or are released twice, however a body ends.
func TestEverythingComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := New(Config{Limit: mega})
		var open []*Holding
		held := map[*Holding]int64{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			n := rapid.Int64Range(0, mega/2).Draw(t, "bytes")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				kind := rapid.SampledFrom(Kinds()).Draw(t, "kind")
				open = append(open, a.Open(kind, rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "peer")))
			case 1:
				if len(open) > 0 {
					h := rapid.SampledFrom(open).Draw(t, "grown")
					if h.Grow(n) == nil {
						held[h] += n
					}
				}
			case 2:
				if len(open) > 0 {
					h := rapid.SampledFrom(open).Draw(t, "shrunk")
					h.Shrink(n)
					held[h] = max(0, held[h]-n)
				}
			case 3:
				if len(open) > 0 {
					h := rapid.SampledFrom(open).Draw(t, "closed")
					h.Close()
					h.Close()
					held[h] = 0
				}
			}
			var sum int64
			for _, n := range held {
				sum += n
			}
			if got := heldOfAllKinds(a); got != sum || got > mega {
				t.Fatalf("%d bytes are counted, %d are held, the limit is %d", got, sum, mega)
			}
		}
		for _, h := range open {
			h.Close()
		}
		if heldOfAllKinds(a) != 0 || len(a.peers) != 0 {
			t.Fatalf("bytes still counted after Close: %v %v", a.kinds, a.peers)
		}
	})
}

func heldOfAllKinds(a *Account) int64 {
	var sum int64
	for _, k := range Kinds() {
		sum += a.Held(k)
	}
	return sum
}

// Guards against a truncated body that is accepted as complete.
func TestReadDetectsTruncation(t *testing.T) {
	is := is.New(t)
	a := New(Config{Limit: mega})
	text := strings.Repeat("x", 100<<10)
	for _, length := range []int64{int64(len(text)), -1} {
		h := a.Open(Request, "p")
		body, err := h.Read(strings.NewReader(text), length)
		is.NoErr(err)
		is.Equal(string(body), text)
		h.Close()
	}
	h := a.Open(Request, "p")
	defer h.Close()
	_, err := h.Read(io.MultiReader(strings.NewReader("half"), &failing{io.ErrUnexpectedEOF}), -1)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	_, err = h.Read(strings.NewReader("half"), 10)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

type failing struct{ err error }

func (f *failing) Read([]byte) (int, error) { return 0, f.err }

// Guards against bodies that use up the memory of a control VM, with and without a declared length.
func TestGuardBoundsBodies(t *testing.T) {
	is := is.New(t)
	a := New(Config{Limit: mega})
	for _, test := range []struct {
		name         string
		length, sent int64
		refused      bool
		most         int64
	}{
		{name: "too long", length: 2 * mega, sent: 2 * mega, refused: true},
		{name: "of unknown length", length: -1, sent: 2 * mega, most: mega / 2},
		{name: "short", length: 1000, sent: 1000, most: 1000},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			refused, read := false, int64(0)
			g := Guard{Account: a, Within: time.Second, Refuse: func(http.ResponseWriter, *http.Request, error) { refused = true }}
			r := httptest.NewRequest(http.MethodPost, "/", io.LimitReader(zeros{}, test.sent))
			r.ContentLength = test.length
			g.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				read, _ = io.Copy(io.Discard, r.Body)
			})).ServeHTTP(httptest.NewRecorder(), r)
			is.Equal(refused, test.refused)
			is.True(read <= test.most)
		})
	}
	is.Equal(a.Held(Request), int64(0))
}

// Guards against a slow sender that occupies a connection and its memory.
func TestGuardEndsSlowBodies(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 1)
	g := Guard{Account: New(Config{Limit: mega}), Within: 100 * time.Millisecond}
	server := httptest.NewServer(g.Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		ended <- err
	})))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\nhalf")
	is.NoErr(err)
	is.True(errors.Is(<-ended, os.ErrDeadlineExceeded))
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestReservingServesMoreThanCounting compares two methods of accounting for uploads with more
// callers than the limit allows: reserving a body's declared length before it is read, and counting
// its bytes as they arrive.
func TestReservingServesMoreThanCounting(t *testing.T) {
	is := is.New(t)
	const uploads, size, step = 120, 3900 << 10, 64 << 10
	reserved := New(Config{Limit: 40 * mega, PeerShare: 1})
	complete, discarded := 0, 0
	for range uploads {
		if reserved.Open(Request, "p").Grow(size) == nil {
			complete++
		}
	}
	counted := New(Config{Limit: 40 * mega, PeerShare: 1})
	completeCounted := 0
	holdings := make([]*Holding, uploads)
	for i := range holdings {
		holdings[i] = counted.Open(Request, "p")
	}
	random := rand.New(rand.NewPCG(1, 1))
	for live := holdings; len(live) > 0; {
		i := random.IntN(len(live))
		h := live[i]
		switch {
		case h.bytes >= size:
			completeCounted++
		case h.Grow(step) != nil:
			discarded += int(h.bytes)
			h.Close()
		default:
			continue
		}
		live = append(live[:i:i], live[i+1:]...)
	}
	t.Logf("complete uploads: %d reserved, %d counted; %d bytes read and discarded", complete, completeCounted, discarded)
	is.True(complete >= completeCounted)
	is.True(discarded > 0)
}

func BenchmarkHolding(b *testing.B) {
	a := New(Config{Limit: 64 * mega})
	b.ReportAllocs()
	for b.Loop() {
		h := a.Open(Request, "10.0.0.1")
		_ = h.Grow(5000)
		h.Close()
	}
}
