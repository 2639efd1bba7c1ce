package callerapi

import (
	"encoding/json"
)

// Paths of the HTTP interface. Those of services begin with PathServices.
const (
	PathChat        = "/v1/chat/completions"
	PathCompletions = "/v1/completions"
	PathModels      = "/v1/models"
	PathServices    = "/services/"
)

// Headers of requests and answers.
const (
	HeaderOutcome      = "Spanrill-Outcome"
	HeaderRequestID    = "X-Request-Id"
	HeaderRetryAfter   = "Retry-After"
	HeaderRetryAfterMs = "Retry-After-Ms"
	HeaderChain        = "Spanrill-Chain"
	HeaderIdempotency  = "Idempotency-Key"
	HeaderLastEventID  = "Last-Event-ID"
)

// inferenceBody holds the fields of a request body that spanrill reads. The engines get the body
// unchanged, with all other fields.
type inferenceBody struct {
	Model               *string         `json:"model"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Seed                *int64          `json:"seed"`
	N                   *int            `json:"n"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type usage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	PromptDetails    promptDetails `json:"prompt_tokens_details"`
}

type promptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// choice is one generated answer or a part of it. Chats use Message, or Delta in a stream, and
// completions use Text.
type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	Logprobs     *string  `json:"logprobs"`
	FinishReason *string  `json:"finish_reason"`
}

// completion is the body of a whole answer or of one chunk of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelCard `json:"data"`
}

type modelCard struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}
