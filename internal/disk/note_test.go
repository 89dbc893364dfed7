package disk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// A note is read as it was written, the newest wins, and one that is damaged is told as
// such: it must not pass for another.
func TestNote(t *testing.T) {
	is := is.New(t)
	folder := t.TempDir()
	var read []string
	found, err := ReadNote(OS{}, folder, "note", &read)
	is.NoErr(err)
	is.True(!found)
	is.NoErr(WriteNote(OS{}, folder, "note", []string{"a"}))
	is.NoErr(WriteNote(OS{}, folder, "note", []string{"b", "c"}))
	found, err = ReadNote(OS{}, folder, "note", &read)
	is.NoErr(err)
	is.True(found)
	is.Equal(read, []string{"b", "c"})
	path := filepath.Join(folder, "note")
	data, err := os.ReadFile(path)
	is.NoErr(err)
	data[len(data)-1]++
	is.NoErr(os.WriteFile(path, data, fileMode))
	_, err = ReadNote(OS{}, folder, "note", &read)
	damage, ok := errors.AsType[*Error](err)
	is.True(ok)
	is.Equal(damage.Kind, KindDamaged)
}
