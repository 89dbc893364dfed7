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

// FuzzDecodeCommand checks that every body decodes to a valid command or gives a
// problem with the reason malformed and Ran "no", and never a panic.
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
			is.Equal(decoded.Model.String(), decoded.RequestedModel)
			is.True(decoded.MaxTokens >= 0)
			return
		}
		var problem *oriolebend.Problem
		is.True(errors.As(err, &problem))
		is.Equal(problem.Reason, oriolebend.ReasonMalformed)
		is.Equal(problem.Ran, oriolebend.RanNo)
	})
}

// FuzzServicePath checks that the path that is matched against the settings is the
// path that is sent, also after a service has cleaned it.
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
		seen := httptest.NewRequest("GET", path.Target, nil).URL
		is.Equal(seen.Path, path.Decoded)
		is.Equal(seen.JoinPath().Path, path.Decoded) // the path is clean already
	})
}

// Guards against text that is lost, repeated or split inside a character: for every
// split of a text into runs and every offset, the caller gets the rest of the text
// in complete characters.
func TestTextInRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		skip := rapid.IntRange(0, len(text)).Draw(t, "skip")
		aligner := textAligner{skip: skip}
		var got strings.Builder
		rest := text
		for {
			run := rest[:rapid.IntRange(0, len(rest)).Draw(t, "run")]
			rest = rest[len(run):]
			last := rest == "" && rapid.Bool().Draw(t, "last")
			returned, valid := aligner.add(run, last)
			if !valid {
				if skip == len(text) || utf8.RuneStart(text[skip]) {
					t.Fatalf("refused offset %d of %q", skip, text)
				}
				return
			}
			if !utf8.ValidString(returned) {
				t.Fatalf("incomplete character in %q", returned)
			}
			got.WriteString(returned)
			if last {
				break
			}
		}
		if got.String() != text[skip:] || aligner.position != len(text) {
			t.Fatalf("got %q of %q at %d", got.String(), text, skip)
		}
	})
}
