package caller

import (
	"errors"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// FuzzDecodeCommand: a body gives a command within the protocol or a typed
// refusal that nothing ran; never a panic.
func FuzzDecodeCommand(f *testing.F) {
	f.Add([]byte(`{"model":"planner-lm@v3:bridges","prompt":["plan"],"max_tokens":5,"stream":true}`), false)
	f.Add([]byte(`{"model":"planner-lm","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":"a","stream_options":{"include_usage":true},"n":1,"stop":null}`), false)
	f.Add([]byte(`{"a":[[{"b":{}}]],"a":1}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		is := is.New(t)
		form := formCompletion
		if chat {
			form = formChat
		}
		decoded, err := decodeCommand(body, form)
		if err == nil {
			is.True(decoded.Prompt != "" && utf8.ValidString(decoded.Prompt))
			is.Equal(decoded.Model.String(), decoded.Named)
			is.True(decoded.MaxTokens >= 0)
			return
		}
		var problem *oriolebend.Problem
		is.True(errors.As(err, &problem))
		is.Equal(problem.Reason, oriolebend.ReasonMalformed)
		is.Equal(problem.Ran, oriolebend.RanNo)
	})
}

// FuzzServicePath: the path that the settings are matched against is the one
// that is sent, however a service's own reader cleans it.
func FuzzServicePath(f *testing.F) {
	for _, seed := range []string{"/arrivals", "/a/../b", "/%2e%2e/x", "/a%2fb", "//x", "/a%00", "/a;b", "/a/", ""} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, rest string) {
		u, err := url.ParseRequestURI("/services/dispatch-api" + rest)
		if err != nil {
			return
		}
		path, err := servicePathOf(u)
		if err != nil {
			return
		}
		is := is.New(t)
		seen := httptest.NewRequest("GET", path.Sent, nil).URL
		is.Equal(seen.Path, path.Plain)
		is.Equal(seen.JoinPath().Path, path.Plain) // nothing left to clean
	})
}

// TestTextInRuns: however a text is cut into runs, and wherever a caller
// attaches, what it gets is the rest of the text in whole characters.
func TestTextInRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		skip := rapid.IntRange(0, len(text)).Draw(t, "skip")
		cut := textCut{skip: skip}
		var got strings.Builder
		rest := text
		for {
			run := rest[:rapid.IntRange(0, len(rest)).Draw(t, "run")]
			rest = rest[len(run):]
			last := rest == "" && rapid.Bool().Draw(t, "last")
			given, fits := cut.take(run, last)
			if !fits {
				if skip == len(text) || utf8.RuneStart(text[skip]) {
					t.Fatalf("refused offset %d of %q", skip, text)
				}
				return
			}
			if !utf8.ValidString(given) {
				t.Fatalf("half a character in %q", given)
			}
			got.WriteString(given)
			if last {
				break
			}
		}
		if got.String() != text[skip:] || cut.position != len(text) {
			t.Fatalf("got %q of %q at %d", got.String(), text, skip)
		}
	})
}
