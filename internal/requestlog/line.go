// Package requestlog reconstructs the history of one request from the logs of several
// processes: the lines of the request, related events of the servers and processes that
// these lines name, and the reason for the request's outcome. It also finds crashes of
// servers and the requests that may have caused them. The operators' subcommands print
// both.
package requestlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxLineBytes bounds a line of a log. The system writes no longer lines; such lines are
// counted as unread.
const maxLineBytes = 1 << 20

// Line is one decoded log line.
type Line struct {
	Time        time.Time `json:"time"`
	Message     string    `json:"msg"`
	Node        string    `json:"node"`
	Role        string    `json:"role"`
	Request     string    `json:"request"`
	Server      string    `json:"server"`
	Prefill     string    `json:"prefill"`
	Instance    string    `json:"instance"`
	Reason      string    `json:"reason"`
	Status      int       `json:"status"`
	Ran         string    `json:"ran"`
	Sent        int       `json:"sent"`
	Fingerprint string    `json:"fingerprint"`
	Route       string    `json:"route"`
	// Parts are the fingerprints of the shared parts of the prompt, separated by spaces.
	Parts string `json:"parts"`
	// FirstMs and TookMs are the times from the arrival of the request to the first
	// event and to the end of its response.
	FirstMs milliseconds `json:"firstMs"`
	TookMs  milliseconds `json:"tookMs"`

	Text string `json:"-"` // the complete line, from its first brace
}

// milliseconds is a duration in a log line.
type milliseconds int64

func (m milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// namesServer reports whether the line names one of the given servers.
func (l Line) namesServer(servers map[string]bool) bool {
	return servers[l.Server] || servers[l.Instance]
}

// scan calls visit for each line of a log and returns the number of lines that could not
// be read. It skips any text before the first brace of a line, because log collectors put
// a time or a name there.
func scan(log io.Reader, visit func(Line)) (unread int, err error) {
	reader := bufio.NewReaderSize(log, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		switch {
		case err == bufio.ErrBufferFull:
			unread++
			if err := skipLine(reader); err != nil {
				return unread, err
			}
			continue
		case err != nil && err != io.EOF:
			return unread, fmt.Errorf("read the log: %w", err)
		}
		if !parseLine(text, visit) {
			unread++
		}
		if err == io.EOF {
			return unread, nil
		}
	}
}

// skipLine skips the rest of a line that is too long.
func skipLine(reader *bufio.Reader) error {
	for {
		_, err := reader.ReadSlice('\n')
		switch err {
		case bufio.ErrBufferFull:
		case nil, io.EOF:
			return nil
		default:
			return fmt.Errorf("read the log: %w", err)
		}
	}
}

// parseLine decodes a line, passes it to visit and reports whether it could be read. Empty
// lines count as read.
func parseLine(text []byte, visit func(Line)) bool {
	text = bytes.TrimSpace(text)
	if len(text) == 0 {
		return true
	}
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		return false
	}
	var line Line
	if err := json.Unmarshal(text[begin:], &line); err != nil || line.Time.IsZero() {
		return false
	}
	line.Text = string(text[begin:])
	visit(line)
	return true
}
