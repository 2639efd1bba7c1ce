package engine

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

// promptText returns the prompt in the body of a request. For a chat completion it is made of the
// messages of the chat.
func promptText(path string, body []byte) (string, error) {
	if strings.HasSuffix(path, "/chat/completions") {
		return chatPrompt(body)
	}
	var request struct {
		Prompt json.RawMessage `json:"prompt"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return "", fmt.Errorf("decode body: %w", err)
	}
	var text string
	if err := json.Unmarshal(request.Prompt, &text); err == nil {
		return text, nil
	}
	var list []string
	if err := json.Unmarshal(request.Prompt, &list); err != nil || len(list) != 1 {
		return "", errors.New("prompt must be a string or a list of one string")
	}
	return list[0], nil
}

// chatPrompt returns the roles and contents of a chat's messages as one prompt.
func chatPrompt(body []byte) (string, error) {
	var request struct {
		Messages []struct {
			Role    string          `json:"role"`
			Content json.RawMessage `json:"content"`
		} `json:"messages"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		return "", fmt.Errorf("decode body: %w", err)
	}
	var prompt strings.Builder
	for _, m := range request.Messages {
		text, err := contentText(m.Content)
		if err != nil {
			return "", err
		}
		prompt.WriteString("<" + m.Role + "> " + text + " ")
	}
	return prompt.String(), nil
}

// contentText returns the text of a message's content: a string or a list of text parts.
func contentText(raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return "", errors.New("content must be a string or a list of text parts")
	}
	for _, p := range parts {
		text += p.Text + " "
	}
	return text, nil
}
