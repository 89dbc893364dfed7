// Package requestlog reads the logs of several processes and tells the life of
// one request from them: its own lines, what else happened to the servers and
// processes that they name, and the cause of its end.
package requestlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// maxLineBytes bounds a line of a log; longer ones are not the system's own and
// are counted as unread.
const maxLineBytes = 1 << 20

// Line is a line of a log.
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
	// FirstMs and TookMs are when the first event and the end of an answer came, counted
	// from the request's arrival.
	FirstMs milliseconds `json:"firstMs"`
	TookMs  milliseconds `json:"tookMs"`

	Text string `json:"-"` // the whole line
}

// milliseconds is a time as lines carry it.
type milliseconds int64

func (m milliseconds) duration() time.Duration { return time.Duration(m) * time.Millisecond }

// names reports whether a line concerns one of some servers.
func (l Line) names(servers map[string]bool) bool {
	return servers[l.Server] || servers[l.Instance]
}

// scan hands each line of a log to a function and returns how many could not be
// read. What stands before the first brace of a line is passed over: collectors
// of logs put a time or a name there.
func scan(log io.Reader, each func(Line)) (unread int, err error) {
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
		if !take(text, each) {
			unread++
		}
		if err == io.EOF {
			return unread, nil
		}
	}
}

// skipLine reads to the end of a line that is too long.
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

// take hands a line on and reports whether it could be read. Empty lines count
// as read.
func take(text []byte, each func(Line)) bool {
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
	each(line)
	return true
}
