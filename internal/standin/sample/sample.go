// Package sample generates realistic requests: corridor plans and arrival pings of Lintang
// Rute Logistik, tab histories and tips of the bar association. The same seed always
// generates the same text.
package sample

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// Completion is the body of a POST request to /v1/completions.
type Completion struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
}

// Encode returns a body as indented JSON with a final newline.
func Encode(body any) ([]byte, error) {
	text, err := json.MarshalIndent(body, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode sample: %w", err)
	}
	return append(text, '\n'), nil
}

// writer writes lines with randomly selected words from a seeded source.
type writer struct {
	strings.Builder
	random *rand.Rand
}

func newWriter(seed uint64) *writer {
	return &writer{random: rand.New(rand.NewPCG(seed, 0))}
}

// line writes one line.
func (w *writer) line(format string, args ...any) {
	fmt.Fprintf(w, format, args...)
	w.WriteByte('\n')
}

// pick returns a random element of a list.
func (w *writer) pick(list []string) string {
	return list[w.random.IntN(len(list))]
}

// between returns a random number from low to high, inclusive.
func (w *writer) between(low, high int) int {
	return low + w.random.IntN(high-low+1)
}

// clock returns the time of day that is the given number of minutes after start, as text.
func clock(start time.Duration, minutes int) string {
	at := start + time.Duration(minutes)*time.Minute
	return fmt.Sprintf("%02d:%02d", int(at.Hours())%24, int(at.Minutes())%60)
}
