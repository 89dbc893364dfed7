package service_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/oriolebend/oriolebend/internal/http1/http1test"
	"github.com/oriolebend/oriolebend/internal/service"
)

// Guards against a part of an answer that is taken for all of it, because the service answered a long call
// early and then reset the connection; and against complete early answers that are lost.
func TestEarlyAnswerOfAService(t *testing.T) {
	upload := tip
	upload.Body = bytes.Repeat([]byte("u"), http1test.UploadBytes)
	for _, answer := range http1test.Answers(t) {
		for _, early := range http1test.EarlyCases(answer.Text) {
			t.Run(fmt.Sprintf("%s/%s", answer.Name, early), func(t *testing.T) {
				t.Parallel()
				client := service.NewClient(service.Config{BaseURL: "http://" + http1test.ServeEarly(t, early)})
				got, err := client.Call(t.Context(), upload)
				complete := err == nil && string(got.Body) == http1test.Body
				if err == nil && !complete {
					t.Errorf("body %q", got.Body)
				}
				if complete != (answer.Framed() || early.Ending.InOrder()) {
					t.Errorf("complete is %t, body %q, error %v", complete, got.Body, err)
				}
			})
		}
	}
}
