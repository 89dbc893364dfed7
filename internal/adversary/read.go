package adversary

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// The readers in this file are strict: what RFC 9112 does not allow ends the reading. They share no code
// with the product, which they judge.

const token = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"

var (
	requestLine = regexp.MustCompile("^(" + token + ") (/[^ #\\x00-\\x20\\x7f]*) HTTP/1\\.[01]$")
	statusLine  = regexp.MustCompile(`^HTTP/1\.[01] ([1-9][0-9][0-9])( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	fieldLine   = regexp.MustCompile("^(" + token + "):[ \\t]*([^\\x00-\\x08\\x0a-\\x1f\\x7f]*)$")
	chunkLine   = regexp.MustCompile(`^([0-9A-Fa-f]{1,15})[ \t]*(;.*)?$`)
	errNotHTTP  = errors.New("not HTTP/1.1")
)

// message is a request or an answer.
type message struct {
	method, target string
	status         int
	fields         map[string][]string
	body           string
}

// id returns the request that an answer names, empty if it names none or several.
func (m message) id() string {
	ids := m.fields[strings.ToLower(RequestHeader)]
	if len(ids) != 1 {
		return strings.Join(ids, " and ")
	}
	return ids[0]
}

// unframed reports whether an answer has neither a length nor chunks.
func (m message) unframed() bool {
	return len(m.fields["content-length"])+len(m.fields["transfer-encoding"]) == 0
}

// closes reports whether the connection ends after the answer to a request of a method.
func (m message) closes(method string) bool {
	return (m.unframed() && method != http.MethodHead) || strings.EqualFold(strings.Join(m.fields["connection"], ","), "close")
}

// readRequests returns the requests in the bytes of a caller, up to the first that is not allowed.
func readRequests(text string) []message {
	r := bufio.NewReader(strings.NewReader(text))
	var requests []message
	for {
		m, err := readRequest(r)
		if err != nil {
			return requests
		}
		requests = append(requests, m)
	}
}

func readRequest(r *bufio.Reader) (message, error) {
	line, err := readLine(r)
	for err == nil && line == "" {
		line, err = readLine(r)
	}
	parts := requestLine.FindStringSubmatch(line)
	if err != nil || parts == nil {
		return message{}, errNotHTTP
	}
	m := message{method: parts[1], target: parts[2]}
	if m.fields, err = readFields(r); err != nil {
		return message{}, err
	}
	if len(m.fields["content-length"])+len(m.fields["transfer-encoding"]) == 0 {
		return m, nil
	}
	m.body, err = readBody(r, m.fields)
	return m, err
}

// readAnswers returns the final answers to requests of a method in the bytes of a server after which its
// connection ended, up to the first that is not allowed.
func readAnswers(text, method string) []message {
	r := bufio.NewReader(strings.NewReader(text))
	var answers []message
	for {
		m, err := readAnswer(r, method)
		if err != nil {
			return answers
		}
		if m.status >= 200 {
			answers = append(answers, m)
		}
	}
}

func readAnswer(r *bufio.Reader, method string) (message, error) {
	line, err := readLine(r)
	parts := statusLine.FindStringSubmatch(line)
	if err != nil || parts == nil {
		return message{}, errNotHTTP
	}
	m := message{}
	m.status, _ = strconv.Atoi(parts[1])
	if m.fields, err = readFields(r); err != nil {
		return message{}, err
	}
	if m.status < 200 || m.status == 204 || m.status == 304 || method == http.MethodHead {
		return m, nil
	}
	if len(m.fields["transfer-encoding"]) > 0 {
		delete(m.fields, "content-length") // is overridden by RFC 9112, 6.3
	}
	m.body, err = readBody(r, m.fields)
	return m, err
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), err
}

// readFields returns the values of the fields up to an empty line, by their names in lower case.
func readFields(r *bufio.Reader) (map[string][]string, error) {
	fields := map[string][]string{}
	for {
		line, err := readLine(r)
		if err != nil || line == "" {
			return fields, err
		}
		parts := fieldLine.FindStringSubmatch(line)
		if parts == nil {
			return nil, errNotHTTP
		}
		name := strings.ToLower(parts[1])
		fields[name] = append(fields[name], strings.Trim(parts[2], " \t"))
	}
}

// readBody reads a body by its length or its chunks. Without both it ends with the connection.
func readBody(r *bufio.Reader, fields map[string][]string) (string, error) {
	lengths, codings := slices.Compact(fields["content-length"]), fields["transfer-encoding"]
	switch {
	case len(lengths)+len(codings) > 1:
		return "", errNotHTTP
	case len(codings) == 1 && !strings.EqualFold(codings[0], "chunked"):
		return "", errNotHTTP
	case len(codings) == 1:
		return readChunks(r)
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 40)
		if err != nil {
			return "", errNotHTTP
		}
		return readBytes(r, n)
	}
	body, err := io.ReadAll(r)
	return string(body), err
}

func readBytes(r *bufio.Reader, n uint64) (string, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && uint64(len(body)) < n {
		err = io.ErrUnexpectedEOF
	}
	return string(body), err
}

func readChunks(r *bufio.Reader) (string, error) {
	var body strings.Builder
	for {
		line, err := readLine(r)
		parts := chunkLine.FindStringSubmatch(line)
		if err != nil || parts == nil {
			return "", errNotHTTP
		}
		n, _ := strconv.ParseUint(parts[1], 16, 60)
		if n == 0 {
			_, err := readFields(r)
			return body.String(), err
		}
		data, err := readBytes(r, n)
		if err != nil {
			return "", err
		}
		body.WriteString(data)
		if line, err = readLine(r); err != nil || line != "" {
			return "", errNotHTTP
		}
	}
}
