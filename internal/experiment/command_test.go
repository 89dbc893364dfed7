package experiment

import (
	"bytes"
	"context"
	"os"
	"testing"
)

func TestScratch(t *testing.T) {
	file := os.Getenv("SCRATCH")
	if file == "" {
		t.Skip()
	}
	var out bytes.Buffer
	c := Command(&out, &out)
	if err := c.ParseAndRun(context.Background(), append([]string{"--reasons"}, file)); err != nil {
		t.Fatal(err)
	}
	t.Log("\n" + out.String())
}
