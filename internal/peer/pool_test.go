package peer

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Symptom: a burst of sessions to one gate makes a connection each. Cause:
// dials for the same address did not share.
func TestPoolSharesDials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		dials := 0
		release := make(chan struct{})
		p := newPool(func(string) (*connection, error) {
			dials++
			<-release
			return nil, errorf(CodeUnreachable, "", nil, "away")
		})
		results := make(chan error, 3)
		for range 3 {
			go func() {
				_, err := p.take(context.Background(), "a")
				results <- err
			}()
		}
		synctest.Wait()
		i.Equal(dials, 1)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := p.take(ctx, "a")
		i.Equal(CodeOf(err), CodeCancelled)
		close(release)
		for range 3 {
			i.Equal(CodeOf(<-results), CodeUnreachable)
		}
		synctest.Wait()
		i.Equal(len(p.slots), 0)
		_, _ = p.take(context.Background(), "a")
		i.Equal(dials, 2)
	})
}
