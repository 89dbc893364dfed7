package peer

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against a burst of sessions to one gate that dials a connection for each
// session instead of sharing one.
func TestPoolSharesDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		dials := 0
		release := make(chan struct{})
		p := newPool(func(string) (*connection, error) {
			dials++
			<-release
			return nil, errorf(CodeUnreachable, "", nil, "no answer")
		})
		results := make(chan error, 3)
		for range 3 {
			go func() {
				_, err := p.get(context.Background(), "a")
				results <- err
			}()
		}
		synctest.Wait()
		i.Equal(dials, 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := p.get(ctx, "a")
		i.Equal(CodeOf(err), CodeCancelled)
		close(release)
		for range 3 {
			i.Equal(CodeOf(<-results), CodeUnreachable)
		}
		synctest.Wait()
		i.Equal(len(p.slots), 0)
		_, _ = p.get(context.Background(), "a")
		i.Equal(dials, 2)
	})
}
