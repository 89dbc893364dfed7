package backend

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
)

// Guards against a part of an answer that is taken for all of it, because the write of a long request has
// consumed the reset by its server; and against complete answers that are lost like that.
func TestEarlyAnswer(t *testing.T) {
	for _, answer := range http1test.Answers(t) {
		for _, early := range http1test.EarlyCases(answer.Text) {
			t.Run(fmt.Sprintf("%s/%s", answer.Name, early), func(t *testing.T) {
				t.Parallel()
				body, err := upload(t, http1test.ServeEarly(t, early))
				complete := err == nil && body == http1test.Body
				if err == nil && !complete {
					t.Errorf("body %q", body)
				}
				if complete != (answer.Framed() || early.Ending.InOrder()) {
					t.Errorf("complete is %t, body %q, error %v", complete, body, err)
				}
			})
		}
	}
}

// upload sends a long request and returns the body of its answer.
func upload(t *testing.T, address string) (string, error) {
	response, err := NewPool(PoolConfig{}).Do(t.Context(), address, Request{
		Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: bytes.Repeat([]byte("u"), http1test.UploadBytes),
	})
	if err != nil {
		return "", err
	}
	body, err := response.ReadBody(1 << 10)
	return string(body), err
}
