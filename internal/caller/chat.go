package caller

import (
	"encoding/json"
	"fmt"
	"strings"
)

// chatMessage is one message of a chat.
type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// roles holds the roles that a message may have.
var roles = map[string]bool{"system": true, "developer": true, "user": true, "assistant": true}

// Markers around the messages in a prompt. If a chat continues, the prompt of its
// earlier messages is a prefix of the new prompt, so that engines find it in their
// caches.
const (
	roleMarker = "<|%s|>\n"
	endMarker  = "\n<|end|>\n"
)

// readMessages renders the messages of a chat into one prompt.
func readMessages(m fields, c *command) error {
	var messages []chatMessage
	found, err := m.read("messages", &messages, "a list of messages")
	if err != nil {
		return err
	}
	if !found || len(messages) == 0 {
		return badField("messages", "is missing or empty")
	}
	var prompt strings.Builder
	for i, message := range messages {
		if err := message.render(&prompt, i); err != nil {
			return err
		}
	}
	fmt.Fprintf(&prompt, roleMarker, "assistant")
	c.Prompt = prompt.String()
	return nil
}

func (m chatMessage) render(prompt *strings.Builder, index int) error {
	if !roles[m.Role] {
		return badField("messages", fmt.Sprintf("%d: the role must be system, developer, user or assistant", index))
	}
	text, err := m.text(index)
	if err != nil {
		return err
	}
	fmt.Fprintf(prompt, roleMarker, m.Role)
	prompt.WriteString(text)
	prompt.WriteString(endMarker)
	return nil
}

// text returns the content, which is text or a list of text parts.
func (m chatMessage) text(index int) (string, error) {
	var text string
	if len(m.Content) > 0 && !isNull(m.Content) && json.Unmarshal(m.Content, &text) == nil {
		return text, nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(m.Content, &parts); err != nil || len(parts) == 0 {
		return "", badField("messages", fmt.Sprintf("%d: the content must be text or a list of text parts", index))
	}
	for _, part := range parts {
		if part.Type != "text" {
			return "", badField("messages", fmt.Sprintf("%d: only text parts are supported", index))
		}
		text += part.Text
	}
	return text, nil
}
