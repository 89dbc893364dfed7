package adversary

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against findings that can't be played again from their text.
func TestTextOfConversations(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 0))
	for range 500 {
		c := Draw(random)
		for range 3 {
			c = Mutate(random, c)
		}
		read, err := Parse(c.String())
		is.NoErr(err)
		is.Equal(read.String(), c.String())
	}
	for _, text := range []string{"write \"x\"", "exchange", "exchange once\nwrite x", "exchange once\npause soon", "exchange once\nsing"} {
		_, err := Parse(text)
		var syntax *SyntaxError
		is.True(errors.As(err, &syntax))
	}
}

// Guards against a judge that accepts whatever a forwarder does.
func TestJudge(t *testing.T) {
	const own = "HTTP/1.1 200 OK\r\nOriolebend-Request: c-0\r\nContent-Length: 2\r\n\r\nok"
	const unframed = "HTTP/1.1 200 OK\r\nOriolebend-Request: c-0\r\n\r\nok"
	arrived := func(sent string) *arrival {
		return &arrival{id: "c-0", method: "POST", target: "/once/", body: "ask c-0", sent: sent}
	}
	brokenOff := func(sent string) *arrival {
		a := arrived(sent)
		a.brokenOff = true
		return a
	}
	whole := []reply{{status: 200, body: "ok", complete: true}}
	sound := []reply{{status: 200, body: "sound", complete: true}}
	for _, test := range []struct {
		name   string
		played played
		want   Violation
	}{
		{name: "served", played: played{replies: whole, arrivals: []*arrival{arrived(own)}}},
		{name: "reset after a complete answer", played: played{replies: whole, arrivals: []*arrival{brokenOff(own)}}},
		{name: "ends in order", played: played{replies: whole, arrivals: []*arrival{arrived(unframed)}}},
		{name: "ends by a reset", played: played{replies: whole, arrivals: []*arrival{brokenOff(unframed)}}, want: NotItsAnswer},
		{name: "told broken", played: played{replies: []reply{{status: 200, body: "o"}}, arrivals: []*arrival{arrived(own)}}},
		{name: "short", played: played{replies: []reply{{status: 200, body: "o", complete: true}}, arrivals: []*arrival{arrived(own)}}, want: NotItsAnswer},
		{name: "refused", played: played{replies: []reply{{status: 503}}, arrivals: []*arrival{arrived(own)}}, want: RefusedAndRan},
		{name: "failed", played: played{replies: []reply{{status: 502}}, arrivals: []*arrival{arrived(own)}}},
		{name: "twice", played: played{replies: []reply{{status: 502}}, arrivals: []*arrival{arrived(own), arrived(own)}}, want: RanTwice},
		{name: "extra", played: played{replies: []reply{{status: 502, extra: "x"}}}, want: Extra},
		{name: "late", played: played{replies: []reply{{status: 504, took: time.Minute}}}, want: Late},
		{name: "not sent", played: played{replies: []reply{{status: 502}}, arrivals: []*arrival{{method: "GET", target: "/inner"}}}, want: NotSent},
		{name: "left", played: played{replies: []reply{{status: 502}}, left: "1 byte"}, want: Left},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			test.played.prefix, test.played.sound = "c", sound
			var kinds []Violation
			for _, f := range judge(Conversation{{Route: Once}}, test.played) {
				kinds = append(kinds, f.Violation)
			}
			if test.want == "" {
				is.Equal(len(kinds), 0)
				return
			}
			is.Equal(kinds, []Violation{test.want})
		})
	}
	is.New(t).Equal(judgeSound(played{sound: []reply{{status: 503}}})[0].Violation, SoundLost)
}
