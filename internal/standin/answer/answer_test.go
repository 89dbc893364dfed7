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

func TestWholeAnswerPasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prompt := rapid.String().Draw(t, "prompt")
		bound := rapid.IntRange(1, 500).Draw(t, "bound")
		text, tokens, finish := Text("planner-lm", "", prompt, bound)
		if Check("planner-lm", "", prompt, bound, text) != nil || CheckText(text, bound) != nil {
			t.Fatal("whole answer refused")
		}
		if prefix.CountTokens(text) != tokens || tokens > bound {
			t.Fatalf("%d tokens, counted %d, bound %d", tokens, prefix.CountTokens(text), bound)
		}
		if (finish == message.FinishLength) != (Of("planner-lm", "", prompt).Natural() > bound) {
			t.Fatalf("finish %s at %d of bound %d", finish, tokens, bound)
		}
	})
}

func TestDamagedAnswerIsTold(t *testing.T) {
	whole, _, _ := Text("m", "", "prompt", 100)
	other, _, _ := Text("m", "", "prompt of another caller", 100)
	half := len(whole) / 2
	for name, text := range map[string]string{
		"empty":      "",
		"foreign":    other,
		"broken off": whole[:strings.LastIndex(whole, " ")],
		"repeat":     whole[:half] + whole[half-20:],
		"gap":        whole[:half] + whole[half+20:],
		"crossed":    whole[:half] + other[half:],
		"too long":   whole + " the",
	} {
		is := is.New(t)
		var damage *DamageError
		is.True(errors.As(Check("m", "", "prompt", 100, text), &damage)) // name
		if name != "foreign" {
			is.True(CheckText(text, 100) != nil)
		}
	}
}
