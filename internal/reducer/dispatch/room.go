package dispatch

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Room is what the engines of a service have left for generations of a size.
type Room struct {
	// Places is the number of generations for which there is memory, and All the number if
	// nothing were held.
	Places, All int
	// Prefill is the number of prefill engines, and Queue how long the prompts take that wait
	// at the one with the shortest queue.
	Prefill int
	Queue   time.Duration
}

// RoomFor returns the room for a generation. It changes nothing, and no random choice.
func RoomFor(s *State, at time.Time, n Need) Room {
	service := s.services[n.Service]
	if service == nil || service.limits.Engine == nil || n.Memory() <= 0 {
		return Room{}
	}
	var room Room
	for _, c := range s.inOrder[n.Service] {
		if c.acceptsWork() && service.healthOf(at, c) <= healthSuspect && s.available(PlacementRequested{At: at, Need: n}, c) {
			room.add(c, service, n, at, s.capacity(service))
		}
	}
	return room
}

func (r *Room) add(c *server, v *service, n Need, at time.Time, capacity int) {
	if c.Role == oriolebend.Prefill {
		if queue := v.prefillTime(c.pendingPrompt); r.Prefill == 0 || queue < r.Queue {
			r.Queue = queue
		}
		r.Prefill++
		return
	}
	r.All += capacity / n.Memory()
	if !c.full(at, n) {
		r.Places += max(0, capacity-c.heldMemory) / n.Memory()
	}
}

// Fits reports whether an engine of the service could hold a generation if it held nothing else.
func Fits(s *State, n Need) bool {
	v := s.services[n.Service]
	return v == nil || v.limits.Engine == nil || n.Memory() <= s.capacity(v)
}

// MayOverflow reports whether a decode engine may prefill a prompt itself if the queues of the
// prefill engines are long.
func MayOverflow(s *State, n Need) bool {
	v := s.services[n.Service]
	return v != nil && n.FirstWithin > 0 && n.PauseWithin > 0 && v.pauseAllowed(n, 1)
}
