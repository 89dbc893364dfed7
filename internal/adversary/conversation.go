// Package adversary plays conversations of HTTP/1.1 in which a backend server or a caller speaks badly, and
// judges what a forwarder makes of them. Conversations are drawn from a seed, kept and changed by a search,
// shortened when one of them shows a violation, and stored as text.
package adversary

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Placeholders in the bytes of a conversation.
const (
	// OwnID stands for the ID of the exchange, OtherID for that of the previous one.
	OwnID   = "{id}"
	OtherID = "{other}"
)

// Route is the kind of route that a request is sent on; its path is "/ROUTE/".
type Route string

// Routes. Only requests of Safe may be sent to a server again after they may have run.
const (
	Once Route = "once"
	Safe Route = "safe"
	// Cut is a stream that may not be resumed.
	Cut Route = "cut"
)

// Action is what a step of a server does.
type Action string

// Actions.
const (
	Write Action = "write"
	// Flood writes the bytes again and again until the connection is closed.
	Flood Action = "flood"
	Pause Action = "pause"
	// Drain reads the rest of the request of an Upload.
	Drain Action = "drain"
	Close Action = "close"
	Reset Action = "reset"
)

// Step is one step of a server on the connection of a request.
type Step struct {
	Action Action
	// Bytes belong to Write and Flood, Length to Pause.
	Bytes  string
	Length time.Duration
}

// Exchange is one request and what the server that receives it does.
type Exchange struct {
	Route Route
	// Head is set if a sound request has the method HEAD; it is POST otherwise.
	Head bool
	// Upload is set if a sound request is long, and the server answers before it has read its body.
	Upload bool
	// Refuses is set if the server does not run the request.
	Refuses bool
	// Request holds the bytes that the caller sends; if it is empty, a sound request is sent.
	Request string
	Steps   []Step
}

// Conversation is a sequence of exchanges. Each begins when the one before has ended for its caller.
type Conversation []Exchange

// SyntaxError is a line of a conversation that can't be read.
type SyntaxError struct {
	Line   int
	Text   string
	Detail string
}

// Error implements error.
func (e *SyntaxError) Error() string {
	return fmt.Sprintf("conversation: line %d %q: %s", e.Line, e.Text, e.Detail)
}

// String returns the text of the conversation, as Parse reads it.
func (c Conversation) String() string {
	var text strings.Builder
	for _, e := range c {
		fmt.Fprintf(&text, "exchange %s", e.Route)
		if e.Head {
			text.WriteString(" head")
		}
		if e.Upload {
			text.WriteString(" upload")
		}
		if e.Refuses {
			text.WriteString(" refuses")
		}
		text.WriteString("\n")
		if e.Request != "" {
			fmt.Fprintf(&text, "request %q\n", e.Request)
		}
		for _, s := range e.Steps {
			text.WriteString(s.String() + "\n")
		}
	}
	return text.String()
}

// String returns the line of the step.
func (s Step) String() string {
	switch s.Action {
	case Write, Flood:
		return fmt.Sprintf("%s %q", s.Action, s.Bytes)
	case Pause:
		return fmt.Sprintf("%s %s", s.Action, s.Length)
	}
	return string(s.Action)
}

// Parse reads the text of a conversation. Empty lines and lines that begin with "#" are skipped.
func Parse(text string) (Conversation, error) {
	var c Conversation
	number := 0
	for line := range strings.Lines(text) {
		number++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if err := c.parseLine(line); err != nil {
			return nil, &SyntaxError{Line: number, Text: line, Detail: err.Error()}
		}
	}
	return c, nil
}

var (
	errNoExchange = errors.New("no exchange has begun")
	errNoRoute    = errors.New("the exchange has no route")
)

func (c *Conversation) parseLine(line string) error {
	word, rest, _ := strings.Cut(line, " ")
	if word == "exchange" {
		words := strings.Fields(rest)
		if len(words) == 0 {
			return errNoRoute
		}
		*c = append(*c, Exchange{
			Route: Route(words[0]), Head: slices.Contains(words, "head"),
			Upload: slices.Contains(words, "upload"), Refuses: slices.Contains(words, "refuses"),
		})
		return nil
	}
	if len(*c) == 0 {
		return errNoExchange
	}
	e := &(*c)[len(*c)-1]
	var err error
	if word == "request" {
		e.Request, err = strconv.Unquote(rest)
		return err
	}
	s := Step{Action: Action(word)}
	switch s.Action {
	case Write, Flood:
		s.Bytes, err = strconv.Unquote(rest)
	case Pause:
		s.Length, err = time.ParseDuration(rest)
	case Drain, Close, Reset:
	default:
		err = fmt.Errorf("unknown action %q", word)
	}
	e.Steps = append(e.Steps, s)
	return err
}
