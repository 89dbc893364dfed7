package http1

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// FuzzRequests guards against requests that are smuggled: bytes that a strict reader takes for a body,
// or refuses, must not be handled as a request.
func FuzzRequests(f *testing.F) {
	const inner = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	for _, text := range []string{
		inner + inner,
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length : " + strconv.Itoa(len(inner)) + "\r\n\r\n" + inner,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n" + inner,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n" + inner,
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + inner,
		"GET /a#b HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.2\r\nHost: h\r\n\r\n", "\r\nGET / HTTP/1.0\r\nHost: h\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		handled, sound := handle(data), readStrictly(data)
		is.True(len(handled) <= len(sound))
		is.True(slices.Equal(handled, sound[:len(handled)]))
	})
}

// exchange is what is compared of a request.
type exchange struct{ method, target, body string }

// handle returns the requests that a server handles if it receives data on one connection.
func handle(data []byte) []exchange {
	near, far := net.Pipe()
	var mutex sync.Mutex
	var handled []exchange
	s := &Server{config: Config{
		Limits:  func() Limits { return Limits{HeaderTimeout: time.Second, IdleTimeout: time.Second} },
		Refused: func(Refusal) {},
		Handler: func(_ context.Context, r *Request, a *Answer) {
			mutex.Lock()
			defer mutex.Unlock()
			handled = append(handled, exchange{r.Method, r.Target, string(r.Body)})
			a.SendBytes(http.StatusOK, http.Header{}, nil)
		},
	}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	defer s.cancel()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	go func() {
		_, _ = far.Write(data)
		_ = far.Close()
	}()
	newConnection(s, near).serve()
	mutex.Lock()
	defer mutex.Unlock()
	return slices.Clone(handled)
}

var (
	strictLine  = regexp.MustCompile(`^([!#$%&'*+.^_` + "`" + `|~0-9A-Za-z-]+) (/[^ #\x00-\x20\x7f]*) HTTP/1\.[01]$`)
	strictField = regexp.MustCompile(`^([!#$%&'*+.^_` + "`" + `|~0-9A-Za-z-]+):[ \t]*([^\x00-\x08\x0a-\x1f\x7f]*)$`)
	strictChunk = regexp.MustCompile(`^([0-9A-Fa-f]+)[ \t]*(;.*)?$`)
	errStrict   = errors.New("not HTTP/1.1")
)

// readStrictly returns the requests in data up to the first that RFC 9112 does not allow, as far as the
// bounds of messages are concerned.
func readStrictly(data []byte) []exchange {
	r := bufio.NewReader(bytes.NewReader(data))
	var requests []exchange
	for {
		e, err := readStrict(r)
		if err != nil {
			return requests
		}
		requests = append(requests, e)
	}
}

func strictReadLine(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), err
}

func readStrict(r *bufio.Reader) (exchange, error) {
	line, err := strictReadLine(r)
	for err == nil && strings.Trim(line, "\r") == "" {
		line, err = strictReadLine(r)
	}
	parts := strictLine.FindStringSubmatch(line)
	if err != nil || parts == nil {
		return exchange{}, errStrict
	}
	fields, err := readStrictFields(r)
	if err != nil {
		return exchange{}, err
	}
	body, err := readStrictBody(r, fields)
	return exchange{parts[1], parts[2], body}, err
}

// readStrictFields returns the values of the lines up to an empty one, by their names in lower case.
func readStrictFields(r *bufio.Reader) (map[string][]string, error) {
	fields := map[string][]string{}
	for {
		line, err := strictReadLine(r)
		if err != nil {
			return nil, err
		}
		if line == "" {
			return fields, nil
		}
		parts := strictField.FindStringSubmatch(line)
		if parts == nil {
			return nil, errStrict
		}
		name := strings.ToLower(parts[1])
		fields[name] = append(fields[name], strings.Trim(parts[2], " \t"))
	}
}

func readStrictBody(r *bufio.Reader, fields map[string][]string) (string, error) {
	lengths, codings := fields["content-length"], fields["transfer-encoding"]
	switch {
	case len(lengths)+len(codings) == 0:
		return "", nil
	case len(lengths)+len(codings) > 1:
		return "", errStrict
	case len(codings) == 1 && !strings.EqualFold(codings[0], "chunked"):
		return "", errStrict
	case len(codings) == 1:
		return readStrictChunks(r)
	}
	n, err := strconv.ParseUint(lengths[0], 10, 62)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err == nil && uint64(len(body)) < n {
		err = io.ErrUnexpectedEOF
	}
	return string(body), err
}

func readStrictChunks(r *bufio.Reader) (string, error) {
	var body strings.Builder
	for {
		line, err := strictReadLine(r)
		parts := strictChunk.FindStringSubmatch(line)
		if err != nil || parts == nil {
			return "", errStrict
		}
		n, err := strconv.ParseUint(parts[1], 16, 62)
		if err != nil {
			return "", err
		}
		if n == 0 {
			_, err := readStrictFields(r)
			return body.String(), err
		}
		if _, err := io.CopyN(&body, r, int64(n)); err != nil {
			return "", err
		}
		end := make([]byte, 2)
		if _, err := io.ReadFull(r, end); err != nil || string(end) != "\r\n" {
			return "", errStrict
		}
	}
}
