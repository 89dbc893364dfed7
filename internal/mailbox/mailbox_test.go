package mailbox

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

func TestMailboxKeepsOrderOfEachWriter(t *testing.T) {
	is := is.New(t)
	const writers, each = 4, 1000
	m := New[[2]int]()
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for n := range each {
				m.Put([2]int{w, n})
			}
		})
	}
	var next [writers]int
	for got := 0; got < writers*each; {
		<-m.Wait()
		for _, item := range m.Take() {
			is.Equal(item[1], next[item[0]]) // items of one writer arrive in order
			next[item[0]]++
			got++
		}
	}
	wg.Wait()
	is.Equal(m.Len(), 0)
}
