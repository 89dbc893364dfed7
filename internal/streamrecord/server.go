package streamrecord

import (
	"context"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/pause"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// expireInterval is the interval at which expired records are dropped.
const expireInterval = time.Second

// Server holds records in one control VM. A DiskStore saves them; besides, the forwarders send the
// records of running streams again to a control VM that has restarted. The zero value is ready to use.
type Server struct {
	mutex sync.Mutex
	table Table
	// changed is signalled after records were added, nil without a DiskStore.
	changed chan struct{}
}

// prepare has the server signal changes.
func (s *Server) prepare() { s.changed = make(chan struct{}, 1) }

// Run drops expired records until ctx ends.
func (s *Server) Run(ctx context.Context) {
	for pause.For(ctx, expireInterval) {
		s.mutex.Lock()
		s.table.Expire(time.Now())
		s.mutex.Unlock()
	}
}

// Len returns the number of records.
func (s *Server) Len() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.table.Len()
}

// Serve is the peer.Handler for forwarders. A session carries any number of requests.
func (s *Server) Serve(ctx context.Context, stream peer.Stream) {
	peer.ServeRequests(ctx, stream, func(request message.StreamRecordRequest) (message.StreamRecordAnswer, bool) {
		return s.answer(time.Now(), request), true
	})
}

func (s *Server) answer(at time.Time, request message.StreamRecordRequest) message.StreamRecordAnswer {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	answer := message.StreamRecordAnswer{ID: request.ID}
	for _, r := range request.Records {
		s.table.Add(at, r)
	}
	if len(request.Records) > 0 {
		s.requestSave()
	} else {
		answer.Origin, answer.Conflict = s.table.Find(at, request.Key)
	}
	return answer
}
