package control

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

func modelOrder(name string) declared.Command {
	return declared.Command{Order: &declared.Order{
		Action: oriolebend.ActionApply, Kind: oriolebend.KindModel, Name: name, OrderID: name,
		Resource: &oriolebend.Resource{Kind: oriolebend.KindModel, Name: name, Spec: &oriolebend.Model{Versions: []string{"v"}}},
	}}
}

func TestCommandsPassThroughTheLog(t *testing.T) {
	is := is.New(t)
	s := NewState()
	command, err := Encode(PartDeclared, modelOrder("m"))
	is.NoErr(err)
	result, err := Decode[oriolebend.ChangeResult](s.Apply(1, command))
	is.NoErr(err)
	is.Equal(result.Outcome, oriolebend.ChangeApplied)
	is.Equal(len(s.Apply(2, nil)), 0) // a new leader's empty command

	data, err := s.Snapshot()
	is.NoErr(err)
	restored := NewState()
	is.NoErr(restored.Restore(data))
	again, err := Decode[oriolebend.ChangeResult](restored.Apply(3, command))
	is.NoErr(err)
	is.True(again.Resent)
	is.Equal(again.Revision, result.Revision)
}

// TestDamagedCommandsChangeNothing checks that a command that can't be decoded is
// refused and changes nothing.
func TestDamagedCommandsChangeNothing(t *testing.T) {
	unknown, _ := Encode("foreign", modelOrder("m"))
	truncated, _ := Encode(PartDeclared, modelOrder("m"))
	for _, command := range [][]byte{[]byte("x"), unknown, truncated[:len(truncated)-3]} {
		is := is.New(t)
		s := NewState()
		var malformed *MalformedError
		_, err := Decode[oriolebend.ChangeResult](s.Apply(1, command))
		is.True(errors.As(err, &malformed))
		is.Equal(s.Declared.Revision(), uint64(0))
	}
	is := is.New(t)
	is.True(NewState().Restore([]byte("x")) != nil)
}

// FuzzApply applies arbitrary bytes, as a damaged log could contain them.
func FuzzApply(f *testing.F) {
	command, err := Encode(PartDeclared, modelOrder("m"))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(command)
	f.Fuzz(func(t *testing.T, command []byte) {
		s := NewState()
		s.Apply(1, command)
		data, err := s.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		if err := NewState().Restore(data); err != nil {
			t.Fatal(err)
		}
	})
}
