package role

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/settings"
)

// startDev starts Dev with the default settings on free ports.
func startDev(t *testing.T) *Dev {
	t.Helper()
	is := is.New(t)
	s, err := settings.Default()
	is.NoErr(err)
	s.Caller.Listen, s.Operator.Listen, s.Metrics.Listen = "", "", ""
	s.Dev.Entries = 2
	d, err := StartDev(s, slog.New(slog.DiscardHandler))
	is.NoErr(err)
	t.Cleanup(func() { is.NoErr(d.Stop(context.Background())) })
	is.NoErr(d.Ready(t.Context()))
	return d
}

func post(t *testing.T, address, path, key, body string) (int, string) {
	t.Helper()
	is := is.New(t)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+address+path, strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer response.Body.Close()
	answer, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, string(answer)
}

const shortCompletion = `{"model": "planner-lm", "prompt": "Plan the corridor from the depot to the camp.", "max_tokens": 12}`

func TestDevAnswersOnceThroughAnyEntry(t *testing.T) {
	is := is.New(t)
	d := startDev(t)
	status, first := post(t, d.Entries[0].Address(), "/v1/completions", "k1", shortCompletion)
	is.Equal(status, http.StatusOK)
	status, again := post(t, d.Entries[1].Address(), "/v1/completions", "k1", shortCompletion)
	is.Equal(status, http.StatusOK)
	is.Equal(again, first) // replayed through the other entry
	ran := 0
	for _, e := range d.Engines {
		ran += int(e.Stats().Prefills)
	}
	is.Equal(ran, 1)
}

func TestDevAttachesASecondCaller(t *testing.T) {
	is := is.New(t)
	d := startDev(t)
	answers := make(chan string, 2)
	for _, e := range d.Entries {
		go func() {
			_, answer := post(t, e.Address(), "/v1/completions", "both", shortCompletion)
			answers <- answer
		}()
	}
	texts := map[string]bool{}
	for range 2 {
		var a struct {
			Choices []struct{ Text string }
		}
		is.NoErr(json.Unmarshal([]byte(<-answers), &a))
		is.Equal(len(a.Choices), 1)
		texts[a.Choices[0].Text] = true
	}
	is.Equal(len(texts), 1) // both got the same complete answer
}

func TestDevRunsACallOfAServiceOnce(t *testing.T) {
	is := is.New(t)
	d := startDev(t)
	for _, e := range d.Entries {
		status, _ := post(t, e.Address(), "/services/dispatch-api/arrivals", "ping-1", `{"camp": "a"}`)
		is.Equal(status, http.StatusOK)
	}
	is.Equal(d.Ledgers["dispatch-api"].Total(), 1) // over both servers
}
