package disk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// Checks that the newest note is read back as it was written, and that a damaged note returns an
// error instead of a wrong value.
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
