package http1test

import (
	_ "embed" // for what makes answers malformed
	"fmt"
	"strconv"
	"strings"
	"testing"
)

//go:embed broken.txt
var brokenFile string

// Defect is what makes an answer malformed.
type Defect string

// Defects.
const (
	// DefectStatus is a status that no final answer may have.
	DefectStatus Defect = "status"
	// DefectName is a line of a head whose name is not a token, DefectTrailer such a line of a trailer.
	DefectName    Defect = "name"
	DefectTrailer Defect = "trailer"
)

// kind returns the kind of the lines of brokenFile from which the defect is made.
func (d Defect) kind() string {
	if d == DefectTrailer {
		return string(DefectName)
	}
	return string(d)
}

// BrokenAnswers returns answers with a body that are malformed by a defect.
func BrokenAnswers(t *testing.T, d Defect, body string) []Answer {
	t.Helper()
	var answers []Answer
	for line := range strings.Lines(brokenFile) {
		kind, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
		if kind != d.kind() {
			continue
		}
		name, quoted, _ := strings.Cut(rest, " ")
		text, err := strconv.Unquote(quoted)
		if err != nil {
			t.Fatalf("%s %s: %v", kind, name, err)
		}
		for _, form := range d.forms(text, body) {
			answers = append(answers, Answer{Name: name + "/" + form.Name, Text: form.Text})
		}
	}
	return answers
}

// forms returns the answers in which a status line, or a line of a head or trailer, is placed.
func (d Defect) forms(text, body string) []Answer {
	switch d {
	case DefectStatus:
		return statusForms(text, body)
	case DefectTrailer:
		chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n\r\n", len(body), body, text)
		return []Answer{{Name: "trailer", Text: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks}}
	}
	forms := Frame(body)
	interim := Answer{Name: "interim", Text: "HTTP/1.1 103 Early Hints\r\n" + text + "\r\n\r\n" + forms[0].Text}
	for i := range forms {
		forms[i].Text = strings.Replace(forms[i].Text, "\r\n\r\n", "\r\n"+text+"\r\n\r\n", 1)
	}
	return append(forms, interim)
}

func statusForms(statusLine, body string) []Answer {
	const sound = "HTTP/1.1 200 OK"
	another := Answer{Name: "beforeAnother", Text: statusLine + "\r\n\r\n" + Frame(body)[0].Text}
	forms := append(Frame(body), Answer{Name: "empty", Text: sound + "\r\nContent-Length: 0\r\n\r\n"})
	for i := range forms {
		forms[i].Text = strings.Replace(forms[i].Text, sound, statusLine, 1)
	}
	return append(forms, another)
}
