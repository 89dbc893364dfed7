package answer

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/prefix"
)

func TestCompleteAnswerPasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		bound := rapid.IntRange(1, 500).Draw(t, "bound")
		text, tokens, finish := Text("planner-lm", "", prompt, bound)
		if Check("planner-lm", "", prompt, bound, text) != nil || CheckText(text, bound) != nil {
			t.Fatal("complete answer refused")
		}
		if prefix.CountTokens(text) != tokens || tokens > bound {
			t.Fatalf("%d tokens, counted as %d, limit %d", tokens, prefix.CountTokens(text), bound)
		}
		if (finish == message.FinishLength) != (Of("planner-lm", "", prompt).Natural() > bound) {
			t.Fatalf("finish is %s after %d tokens with a limit of %d", finish, tokens, bound)
		}
	})
}

func TestDamagedAnswerIsDetected(t *testing.T) {
	complete, _, _ := Text("m", "", "prompt", 100)
	other, _, _ := Text("m", "", "prompt of another caller", 100)
	half := len(complete) / 2
	for name, text := range map[string]string{
		"empty":        "",
		"other prompt": other,
		"truncated":    complete[:strings.LastIndex(complete, " ")],
		"repeat":       complete[:half] + complete[half-20:],
		"gap":          complete[:half] + complete[half+20:],
		"crossed":      complete[:half] + other[half:],
		"too long":     complete + " the",
	} {
		is := is.New(t)
		var damage *DamageError
		is.True(errors.As(Check("m", "", "prompt", 100, text), &damage)) // name
		if name != "other prompt" {
			is.True(CheckText(text, 100) != nil)
		}
	}
}
