package adversary

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// maxExchanges bounds the exchanges of a drawn conversation, maxFaults the faults in one exchange.
const (
	maxExchanges = 5
	maxFaults    = 2
)

// Draw draws a conversation: valid exchanges, most of them with faults.
func Draw(random *rand.Rand) Conversation {
	var c Conversation
	for range 2 + random.IntN(maxExchanges-1) {
		e := drawExchange(random)
		for range random.IntN(maxFaults + 1) {
			spoil(random, &e)
		}
		c = append(c, e)
	}
	return c
}

// Mutate returns a changed copy of a conversation.
func Mutate(random *rand.Rand, c Conversation) Conversation {
	changed := make(Conversation, 0, len(c)+1)
	for _, e := range c {
		e.Steps = append([]Step(nil), e.Steps...)
		changed = append(changed, e)
	}
	at := random.IntN(len(changed))
	switch random.IntN(4) {
	case 0:
		changed = append(changed, drawExchange(random))
	case 1:
		changed[at] = drawExchange(random)
		spoil(random, &changed[at])
	default:
		spoil(random, &changed[at])
	}
	return changed[max(0, len(changed)-2*maxExchanges):]
}

// pick draws one of the values.
func pick[T any](random *rand.Rand, values ...T) T { return values[random.IntN(len(values))] }

// drawExchange draws a valid exchange.
func drawExchange(random *rand.Rand) Exchange {
	e := Exchange{Route: pick(random, Once, Once, Safe, Cut)}
	answer := drawSuccess(random, e.Route)
	switch random.IntN(8) {
	case 0:
		e.Refuses = true
		answer = drawRefusal(random, OwnID)
	case 1:
		answer = head(500, OwnID, "Content-Length: 5") + "wrong"
	}
	e.Head = !e.Refuses && random.IntN(10) == 0
	if e.Head {
		answer = head(200, OwnID, "Content-Length: 25")
	}
	e.Steps = []Step{{Action: Write, Bytes: answer}}
	if !strings.Contains(answer, "Content-Length") && !strings.Contains(answer, "chunked") {
		e.Steps = append(e.Steps, Step{Action: Close})
	}
	return e
}

// head returns the head of an answer that names a request, none if id is empty.
func head(status int, id string, lines ...string) string {
	text := fmt.Sprintf("HTTP/1.1 %d Status\r\n", status)
	if id != "" {
		lines = append([]string{RequestHeader + ": " + id}, lines...)
	}
	for _, line := range lines {
		text += line + "\r\n"
	}
	return text + "\r\n"
}

// refusal returns an answer which states that the request it names has not run.
func refusal(status int, id string) string {
	return head(status, id, RanHeader+": no", "Content-Length: 4") + "busy"
}

// drawRefusal returns a refusal with one of the statuses that promise that the request has not run.
func drawRefusal(random *rand.Rand, id string) string {
	status := pick(random, http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest)
	return refusal(status, id)
}

func drawSuccess(random *rand.Rand, route Route) string {
	body, contentType := "own "+OwnID+" whole", "Content-Type: text/plain"
	if route == Cut {
		body, contentType = "id: 1\ndata: "+OwnID+"\n\nid: 2\ndata: end\n\n", "Content-Type: text/event-stream"
	}
	switch random.IntN(3) {
	case 0:
		return head(200, OwnID, contentType, lengthOf(body)) + body
	case 1:
		return head(200, OwnID, contentType, "Transfer-Encoding: chunked") + chunked(body)
	}
	return head(200, OwnID, contentType) + body
}

// lengthOf returns the header line with the length of a body, with its placeholder replaced.
func lengthOf(body string) string {
	return fmt.Sprintf("Content-Length: %d", len(body)+idBytes-len(OwnID))
}

// idBytes is the length of each ID of an exchange.
const idBytes = 10

// chunked returns a body in two chunks.
func chunked(body string) string {
	end := strings.Index(body, OwnID) + len(OwnID)
	first, second := body[:end], body[end:]
	return fmt.Sprintf("%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", len(first)+idBytes-len(OwnID), first, len(second), second)
}

// drawPause is longer than an exchange on loopback and shorter than the timeout of a route.
func drawPause(random *rand.Rand) Step {
	return Step{Action: Pause, Length: time.Duration(1+random.IntN(20)) * time.Millisecond}
}
