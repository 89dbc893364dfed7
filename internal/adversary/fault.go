package adversary

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
)

// fault changes one exchange.
type fault func(random *rand.Rand, e *Exchange)

// faults are all faults that are drawn.
var faults = []fault{
	cutAnswer, cutAnswer, cutAndAnswerAgain, doubleAnswer, doubleLine, dropLine, swapLines, nameOther, nameNone, nameTwo,
	refuseAsOther, refuseAsNone, refuseAfterwards, lateCopy, interim, spliceHeads, wrongLength, wrongChunk, contradict,
	tinyPieces, floodAfter, trailingBytes, stall, badRequest, badRequest,
	cutRequest, joinRequests, answerEarly, answerEarly, oddStatus, badName, badTrailer,
}

func spoil(random *rand.Rand, e *Exchange) { faults[random.IntN(len(faults))](random, e) }

// text returns the bytes of the first Write, which begins the answer.
func (e *Exchange) text() string {
	for _, s := range e.Steps {
		if s.Action == Write {
			return s.Bytes
		}
	}
	return ""
}

// setText replaces the bytes of the first Write.
func (e *Exchange) setText(text string) {
	for i, s := range e.Steps {
		if s.Action == Write {
			e.Steps[i].Bytes = text
			return
		}
	}
}

// runs makes the server run the request, and not say otherwise.
func (e *Exchange) runs(random *rand.Rand) {
	if e.Refuses {
		e.Refuses = false
		e.setText(drawSuccess(random, e.Route))
	}
}

// cut returns the beginning of a text, up to any byte or up to the end of a line.
func cut(random *rand.Rand, text string) string {
	if random.IntN(2) == 0 {
		return text[:random.IntN(len(text)+1)]
	}
	lines := strings.SplitAfter(text, "\n")
	return strings.Join(lines[:random.IntN(len(lines)+1)], "")
}

// cutAnswer ends the answer early.
func cutAnswer(random *rand.Rand, e *Exchange) {
	end := Step{Action: pick(random, Close, Reset, Pause), Length: maxPause}
	e.Steps = []Step{{Action: Write, Bytes: cut(random, e.text())}, end}
}

// cutAndAnswerAgain ends the answer early, and sends the whole answer after it.
func cutAndAnswerAgain(random *rand.Rand, e *Exchange) {
	text := e.text()
	e.setText(cut(random, text) + text)
}

func doubleAnswer(_ *rand.Rand, e *Exchange) { e.setText(e.text() + e.text()) }

// changeHead passes the lines of the head, without the status line, to change.
func (e *Exchange) changeHead(change func(lines []string) []string) {
	before, body, found := strings.Cut(e.text(), "\r\n\r\n")
	if !found {
		return
	}
	lines := strings.Split(before, "\r\n")
	lines = append(lines[:1:1], change(lines[1:])...)
	e.setText(strings.Join(lines, "\r\n") + "\r\n\r\n" + body)
}

func doubleLine(random *rand.Rand, e *Exchange) {
	e.changeHead(func(lines []string) []string {
		if len(lines) == 0 {
			return lines
		}
		return append(lines, lines[random.IntN(len(lines))])
	})
}

func dropLine(random *rand.Rand, e *Exchange) {
	e.changeHead(func(lines []string) []string {
		if len(lines) == 0 {
			return lines
		}
		at := random.IntN(len(lines))
		return append(lines[:at:at], lines[at+1:]...)
	})
}

func swapLines(random *rand.Rand, e *Exchange) {
	e.changeHead(func(lines []string) []string {
		random.Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
		return lines
	})
}

func (e *Exchange) replaceName(line string) {
	e.setText(strings.Replace(e.text(), RequestHeader+": "+OwnID+"\r\n", line, 1))
}

func nameOther(_ *rand.Rand, e *Exchange) { e.replaceName(RequestHeader + ": " + OtherID + "\r\n") }

func nameNone(_ *rand.Rand, e *Exchange) { e.replaceName("") }

func nameTwo(random *rand.Rand, e *Exchange) {
	lines := []string{RequestHeader + ": " + OwnID + "\r\n", RequestHeader + ": " + OtherID + "\r\n"}
	random.Shuffle(2, func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
	e.replaceName(lines[0] + lines[1])
}

// refuseAsOther refuses the previous request where this one is answered. The server runs the request.
func refuseAsOther(random *rand.Rand, e *Exchange) {
	e.runs(random)
	after := pick(random, "", e.text())
	e.Steps = []Step{{Action: Write, Bytes: drawRefusal(random, OtherID) + after}}
}

// refuseAsNone sends a refusal that names no request. The server runs the request.
func refuseAsNone(random *rand.Rand, e *Exchange) {
	e.runs(random)
	e.Steps = []Step{{Action: Write, Bytes: drawRefusal(random, "")}}
}

// refuseAfterwards sends a refusal of the request after its complete answer.
func refuseAfterwards(random *rand.Rand, e *Exchange) {
	e.runs(random)
	e.Steps = append(e.Steps, drawPause(random), Step{Action: Write, Bytes: refusal(http.StatusServiceUnavailable, pick(random, OwnID, ""))})
}

// lateCopy sends the answer once more, later.
func lateCopy(random *rand.Rand, e *Exchange) {
	e.Steps = append(e.Steps, drawPause(random), Step{Action: Write, Bytes: e.text()})
}

func interim(random *rand.Rand, e *Exchange) {
	line := pick(random, "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n")
	e.setText(strings.Repeat(line, 1+random.IntN(20)) + e.text())
}

// spliceHeads sends the beginning of a refusal, then the answer, without the end of the first head.
func spliceHeads(random *rand.Rand, e *Exchange) {
	e.runs(random)
	first, _, _ := strings.Cut(head(http.StatusServiceUnavailable, pick(random, OwnID, ""), RanHeader+": no", "Server: busy"), "\r\n\r\n")
	e.setText(cut(random, first) + e.text())
}

func wrongLength(random *rand.Rand, e *Exchange) {
	line := fmt.Sprintf("Content-Length: %d", random.IntN(60))
	e.changeHead(func(lines []string) []string {
		for i := range lines {
			if strings.HasPrefix(lines[i], "Content-Length") && random.IntN(2) == 0 {
				lines[i] = line
				return lines
			}
		}
		return append(lines, line)
	})
}

func wrongChunk(random *rand.Rand, e *Exchange) {
	size := pick(random, "-1", "fffffffffffffffff", "0x3", "3;"+strings.Repeat("x", 9000), "", "3 ")
	e.setText(strings.Replace(e.text(), "\r\n\r\n", "\r\n\r\n"+size+"\r\n", 1))
}

// contradict adds a statement that the rest of the answer contradicts. The server runs the request.
func contradict(random *rand.Rand, e *Exchange) {
	e.runs(random)
	line := RanHeader + ": " + pick(random, "no", "yes", "unknown", "no, yes")
	e.changeHead(func(lines []string) []string { return append(lines, line, RanHeader+": yes") })
}

// tinyPieces sends the answer in pieces.
func tinyPieces(random *rand.Rand, e *Exchange) {
	text := e.text()
	if text == "" {
		return
	}
	at := random.IntN(len(text))
	pieces := []Step{{Action: Write, Bytes: text[:at]}, drawPause(random), {Action: Write, Bytes: text[at:]}}
	e.Steps = append(pieces, e.Steps[1:]...)
}

// floodAfter sends bytes without end after a part of the answer.
func floodAfter(random *rand.Rand, e *Exchange) {
	part := pick(random, "X: y\r\n", "HTTP/1.1 103 Early Hints\r\n\r\n", "1\r\nx\r\n", ": comment\n", "x", "data: x\n")
	e.Steps = []Step{{Action: Write, Bytes: cut(random, e.text())}, {Action: Flood, Bytes: part}}
}

func trailingBytes(random *rand.Rand, e *Exchange) {
	e.setText(e.text() + pick(random, "\r\n", "x", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 S\r\n"+RanHeader+": no\r\n"))
}

// stall sends nothing for longer than the timeout of a route.
func stall(_ *rand.Rand, e *Exchange) {
	e.Steps = append([]Step{{Action: Pause, Length: maxPause}}, e.Steps...)
}

// answerEarly makes the server answer a long request before it has read it, all or a part of the answer.
func answerEarly(random *rand.Rand, e *Exchange) {
	e.Head, e.Upload = false, true
	text := pick(random, e.text(), cut(random, e.text()))
	e.Steps = []Step{{Action: Write, Bytes: text}}
	if random.IntN(2) == 0 {
		e.Steps = append(e.Steps, drawPause(random))
	}
	if random.IntN(3) == 0 {
		e.Steps = append(e.Steps, Step{Action: Drain})
	}
	e.Steps = append(e.Steps, Step{Action: pick(random, Close, Reset)})
}

// oddStatus replaces the status by one that no answer has, or sends a head with such a status before the
// answer.
func oddStatus(random *rand.Rand, e *Exchange) {
	status := pick(random, "000", "001", "042", "099", "101", "20", "2000", "+20", "-20", "600", "999")
	if random.IntN(2) == 0 {
		e.setText("HTTP/1.1 " + status + " Status\r\n\r\n" + e.text())
		return
	}
	version, rest, _ := strings.Cut(e.text(), " ")
	_, rest, found := strings.Cut(rest, " ")
	if found {
		e.setText(version + " " + status + " " + rest)
	}
}

// badNames are lines of a head whose name is no token.
var badNames = []string{"X Y: 1", "X : 1", "X\t: 1", "X\x01: 1", "\x01: 1", "X\x00Y: 1", "Content-Length : 2", "Transfer-Encoding : chunked", ": 1"}

// badName adds a line whose name is no token to the head.
func badName(random *rand.Rand, e *Exchange) {
	line := pick(random, badNames...)
	e.changeHead(func(lines []string) []string { return append(lines, line) })
}

// badTrailer adds such a line to the trailer of an answer in chunks.
func badTrailer(random *rand.Rand, e *Exchange) {
	e.setText(strings.Replace(e.text(), "\r\n0\r\n\r\n", "\r\n0\r\n"+pick(random, badNames...)+"\r\n\r\n", 1))
}

// soundRequest returns the bytes of a request.
func soundRequest(route Route) string {
	return fmt.Sprintf("POST /%s/ HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 4\r\n\r\nbody", route, RequestHeader, OwnID)
}

// cutRequest makes the caller send a part of a request only.
func cutRequest(random *rand.Rand, e *Exchange) {
	text := soundRequest(e.Route)
	e.Request = cut(random, text[:len(text)-1])
}

// joinRequests makes the caller send two requests at once, the first of them cut or whole.
func joinRequests(random *rand.Rand, e *Exchange) {
	text := soundRequest(e.Route)
	e.Request = cut(random, text) + text
}

// badRequest makes the caller send two requests of which the bounds are in doubt.
func badRequest(random *rand.Rand, e *Exchange) {
	inner := "POST /once/inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
	length := fmt.Sprintf("Content-Length: %d", len(inner))
	lines := []string{"Host: h", RequestHeader + ": " + OwnID}
	bounds := [][]string{
		{length},
		{strings.Replace(length, ":", " :", 1)},
		{length, "Content-Length: 0"},
		{length, "Transfer-Encoding: chunked"},
		{"Transfer-Encoding : chunked"},
		{"Transfer-Encoding: chunked, identity"},
		{"Transfer-Encoding: xchunked"},
		{"Content-Length: +0"},
		{"Content-Length: 0", "Host: h2"},
		{" " + length},
		{"X: y\r" + length},
		{"X: y\n" + length},
		{"Transfer-Encoding:\x0bchunked"},
	}
	lines = append(lines, bounds[random.IntN(len(bounds))]...)
	body := pick(random, inner, "0\r\n\r\n"+inner, "0\r\n"+inner, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(inner), inner))
	e.Request = fmt.Sprintf("POST /%s/ HTTP/1.1\r\n%s\r\n\r\n%s", e.Route, strings.Join(lines, "\r\n"), body)
}
