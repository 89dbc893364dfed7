package http1

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// requestTarget returns the path and query of a request line, which must have the form of RFC 9112,
// section 3: net/http accepts further versions, and fragments.
func requestTarget(raw []byte) (string, error) {
	line, _, _ := bytes.Cut(raw, []byte("\n"))
	parts := strings.Split(string(bytes.TrimSuffix(line, []byte("\r"))), " ")
	switch {
	case len(parts) != 3 || !strings.HasPrefix(parts[1], "/"):
		return "", malformed("the request line has no path", nil)
	case strings.Contains(parts[1], "#"):
		return "", malformed("the path has a fragment", nil)
	case parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0":
		return "", &SyntaxError{Status: http.StatusHTTPVersionNotSupported, Detail: "not HTTP/1.0 or HTTP/1.1"}
	}
	return parts[1], nil
}

// checkLines refuses header lines that net/http.ReadRequest would repair, or take for other headers.
// net/http's own server refuses most of them after it has read them; this package does not use it.
func checkLines(raw []byte) error {
	lines := bytes.Split(raw, []byte("\n"))
	lengths, codings, hosts := 0, 0, 0
	for _, line := range lines[1:] {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) == 0 {
			continue
		}
		name, value, err := parseField(line)
		if err != nil {
			return err
		}
		switch strings.ToLower(name) {
		case "content-length":
			lengths++
		case "transfer-encoding":
			codings++
		case "host":
			hosts++
			if !httpguts.ValidHostHeader(value) {
				return malformed("invalid Host", nil)
			}
		}
	}
	if lengths > 1 || codings > 1 || (lengths > 0 && codings > 0) {
		return malformed("the length of the body is given twice", nil)
	}
	if codings > 0 && bytes.HasSuffix(bytes.TrimRight(lines[0], "\r"), []byte("HTTP/1.0")) {
		return malformed("chunks in HTTP/1.0", nil)
	}
	if hosts != 1 {
		return malformed("not one Host line", nil)
	}
	return nil
}

// parseField parses one line of a header or a trailer, by RFC 9112, section 5.
//
// White space before the colon makes "Content-Length " another header than Content-Length: a parser
// that drops it reads a body where the other one reads the next request.
func parseField(line []byte) (name, value string, err error) {
	before, after, found := strings.Cut(string(line), ":")
	value = strings.Trim(after, " \t")
	switch {
	case line[0] == ' ' || line[0] == '\t':
		return "", "", malformed("folded header line", nil)
	case !found:
		return "", "", malformed("header line without a colon", nil)
	case !httpguts.ValidHeaderFieldName(before):
		return "", "", malformed("invalid header name", nil)
	case !httpguts.ValidHeaderFieldValue(value):
		return "", "", malformed("control character in the header", nil)
	}
	return before, value, nil
}

// maxTrailerBytes bounds the lines after the last chunk.
const maxTrailerBytes = 4 << 10

// readTrailer reads and discards the lines after the last chunk.
func readTrailer(r *bufio.Reader) error {
	read := 0
	for {
		line, err := r.ReadSlice('\n')
		read += len(line)
		if read > maxTrailerBytes || errors.Is(err, bufio.ErrBufferFull) {
			return malformed("long trailer", nil)
		}
		if err != nil {
			return err
		}
		line = bytes.TrimSuffix(line[:len(line)-1], []byte("\r"))
		if len(line) == 0 {
			return nil
		}
		if _, _, err := parseField(line); err != nil {
			return err
		}
	}
}
