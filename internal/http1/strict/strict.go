// Package strict reads messages of HTTP/1.1 for tests that judge the product. What RFC 9112 does not allow
// ends the reading, as far as the bounds of messages are concerned. The package shares no code with the
// product.
package strict

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

const token = "[!#$%&'*+.^_`|~0-9A-Za-z-]+"

var (
	requestLine = regexp.MustCompile("^(" + token + ") (/[^ #\\x00-\\x20\\x7f]*) HTTP/1\\.[01]$")
	statusLine  = regexp.MustCompile(`^HTTP/1\.[01] ([1-5][0-9][0-9])( [^\x00-\x08\x0a-\x1f\x7f]*)?$`)
	fieldLine   = regexp.MustCompile("^(" + token + "):[ \\t]*([^\\x00-\\x08\\x0a-\\x1f\\x7f]*)$")
	chunkLine   = regexp.MustCompile(`^([0-9A-Fa-f]+)[ \t]*(;.*)?$`)
)

// ErrNotAllowed is the error of bytes that RFC 9112 does not allow.
var ErrNotAllowed = errors.New("not HTTP/1.1")

// Request is a request.
type Request struct {
	Method, Target string
	Fields         Fields
	Body           string
}

// Answer is an answer.
type Answer struct {
	Status int
	Fields Fields
	Body   string
}

// Fields are the values of header fields, by their names in lower case.
type Fields map[string][]string

// Values returns the values of a field.
func (f Fields) Values(name string) []string { return f[strings.ToLower(name)] }

// Unframed reports whether the answer has neither a length nor chunks.
func (a Answer) Unframed() bool {
	return len(a.Fields["content-length"])+len(a.Fields["transfer-encoding"]) == 0
}

// Closes reports whether the connection ends after this answer to a request of a method.
func (a Answer) Closes(method string) bool {
	closes := strings.EqualFold(strings.Join(a.Fields["connection"], ","), "close")
	return closes || (a.Unframed() && method != http.MethodHead)
}

// ReadRequests returns the requests in the bytes of a caller, up to the first that is not allowed.
func ReadRequests(text string) []Request {
	r := bufio.NewReader(strings.NewReader(text))
	var requests []Request
	for {
		request, err := ReadRequest(r)
		if err != nil {
			return requests
		}
		requests = append(requests, request)
	}
}

// ReadRequest reads a request. With the error ErrNotAllowed it returns what it has read.
func ReadRequest(r *bufio.Reader) (Request, error) {
	request, err := ReadRequestHead(r)
	if err != nil {
		return request, err
	}
	err = request.ReadBody(r)
	return request, err
}

// ReadRequestHead reads a request without its body. With the error ErrNotAllowed it returns what it has read.
func ReadRequestHead(r *bufio.Reader) (Request, error) {
	line, err := readLine(r)
	for err == nil && strings.Trim(line, "\r") == "" {
		line, err = readLine(r)
	}
	if err != nil {
		return Request{}, err
	}
	parts := requestLine.FindStringSubmatch(line)
	if parts == nil {
		return Request{}, ErrNotAllowed
	}
	request := Request{Method: parts[1], Target: parts[2]}
	request.Fields, err = readFields(r)
	return request, err
}

// ReadBody reads the body of a request whose head has been read.
func (q *Request) ReadBody(r *bufio.Reader) error {
	lengths, codings := len(q.Fields["content-length"]), len(q.Fields["transfer-encoding"])
	switch {
	case lengths+codings == 0:
		return nil
	case lengths > 1:
		return ErrNotAllowed
	}
	var err error
	q.Body, err = readBody(r, q.Fields)
	return err
}

// ReadAnswers returns the final answers to requests of a method in the bytes of a server after which its
// connection ended, up to the first that is not allowed.
func ReadAnswers(text, method string) []Answer {
	r := bufio.NewReader(strings.NewReader(text))
	var answers []Answer
	for {
		answer, err := ReadAnswer(r, method)
		if err != nil {
			return answers
		}
		answers = append(answers, answer)
	}
}

// ReadAnswer reads the final answer to a request of a method, and the interim ones before it.
func ReadAnswer(r *bufio.Reader, method string) (Answer, error) {
	for {
		answer, err := readOneAnswer(r, method)
		if err != nil || answer.Status >= http.StatusOK {
			return answer, err
		}
		if answer.Status == http.StatusSwitchingProtocols { // no request here asks for it
			return Answer{}, ErrNotAllowed
		}
	}
}

func readOneAnswer(r *bufio.Reader, method string) (Answer, error) {
	line, err := readLine(r)
	parts := statusLine.FindStringSubmatch(line)
	if err != nil || parts == nil {
		return Answer{}, ErrNotAllowed
	}
	answer := Answer{}
	answer.Status, _ = strconv.Atoi(parts[1])
	if answer.Fields, err = readFields(r); err != nil {
		return Answer{}, err
	}
	bodiless := answer.Status < 200 || answer.Status == http.StatusNoContent || answer.Status == http.StatusNotModified
	if bodiless || method == http.MethodHead {
		return answer, nil
	}
	if len(answer.Fields["transfer-encoding"]) > 0 {
		delete(answer.Fields, "content-length") // is overridden by RFC 9112, 6.3
	}
	answer.Body, err = readBody(r, answer.Fields)
	return answer, err
}

func readLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), err
}

// readFields returns the values of the fields up to an empty line, by their names in lower case.
func readFields(r *bufio.Reader) (Fields, error) {
	fields := Fields{}
	for {
		line, err := readLine(r)
		if err != nil || line == "" {
			return fields, err
		}
		parts := fieldLine.FindStringSubmatch(line)
		if parts == nil {
			return nil, ErrNotAllowed
		}
		name := strings.ToLower(parts[1])
		fields[name] = append(fields[name], strings.Trim(parts[2], " \t"))
	}
}

// readBody reads a body by its length or its chunks. Without both it ends with the connection.
func readBody(r *bufio.Reader, fields Fields) (string, error) {
	lengths, codings := slices.Compact(fields["content-length"]), fields["transfer-encoding"]
	switch {
	case len(lengths)+len(codings) > 1:
		return "", ErrNotAllowed
	case len(codings) == 1 && !strings.EqualFold(codings[0], "chunked"):
		return "", ErrNotAllowed
	case len(codings) == 1:
		return readChunks(r)
	case len(lengths) == 1:
		n, err := strconv.ParseUint(lengths[0], 10, 60)
		if err != nil {
			return "", ErrNotAllowed
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
			return "", ErrNotAllowed
		}
		n, err := strconv.ParseUint(parts[1], 16, 60)
		if err != nil {
			return "", ErrNotAllowed
		}
		if n == 0 {
			_, err := readFields(r)
			return body.String(), err
		}
		data, err := readBytes(r, n)
		if err != nil {
			return "", err
		}
		body.WriteString(data)
		end, err := readBytes(r, 2)
		if err != nil || end != "\r\n" {
			return "", ErrNotAllowed
		}
	}
}
