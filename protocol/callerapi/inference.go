package callerapi

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"spanrill"
	"spanrill/coordination/pipeline"
	"spanrill/state/config"
	"spanrill/state/load"
	"spanrill/transport/httpcall"
)

// inference is a call that generates text with a model.
type inference struct {
	*call
	path         string
	body         inferenceBody
	model        *config.ModelGrant
	request      *pipeline.Request
	endAdmission func(tokens int) // must be called when the request ends, with the number of its tokens
	skipTokens   int              // how many tokens of a resumed stream the caller already has
	resumeAt     resumePoint
}

// handleInference parses, admits and runs a generation, and answers it as a whole or as a stream.
func (c *call) handleInference(path string) {
	in := &inference{call: c, path: path}
	if refusal := in.parse(); refusal != nil {
		c.refuse(refusal)
		return
	}
	release, refusal := c.server.Admission.Admit(c.server.ctx, c.grant, in.model, in.request.MaxTokens)
	if refusal != nil {
		c.refuse(refusal)
		return
	}
	in.endAdmission = release
	if in.body.Stream {
		in.respondStream()
		return
	}
	in.respondWhole()
}

// parse reads the body and the resume header, or returns why the request is refused.
func (in *inference) parse() *spanrill.Refusal {
	raw := append([]byte(nil), in.ctx.PostBody()...)
	if err := json.Unmarshal(raw, &in.body); err != nil {
		return bodyRefusal(err)
	}
	if in.body.Model == nil || *in.body.Model == "" {
		return fieldRefusal("model", "the field model is missing")
	}
	in.model = in.grant.Model(*in.body.Model)
	if in.model == nil {
		return spanrill.NewRefusal(spanrill.ReasonUnknownModel,
			"client account %s has no model %q", in.grant.Account(), *in.body.Model).WithField("model")
	}
	if refusal := in.checkInput(); refusal != nil {
		return refusal
	}
	maxTokens, refusal := in.maxTokens()
	if refusal != nil {
		return refusal
	}
	in.newRequest(raw, maxTokens)
	return in.parseResume(raw)
}

// newRequest builds the request for the pipeline.
func (in *inference) newRequest(raw []byte, maxTokens int) {
	m := in.model.Model()
	in.request = &pipeline.Request{
		ID: in.id, Path: in.path, Body: raw, Layers: m.Layers, Seed: in.seed(),
		Key:      load.ModelKey{Model: m.Name, Version: m.Version, Site: in.model.Site().Name},
		Priority: in.model.Priority(), MaxTokens: maxTokens,
	}
}

// bodyRefusal returns the refusal of a body that cannot be decoded. It names the field or the byte
// if the error does.
func bodyRefusal(err error) *spanrill.Refusal {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return fieldRefusal(wrongType.Field, "the field %s must be a %s, not a %s", wrongType.Field, wrongType.Type, wrongType.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return spanrill.NewRefusal(spanrill.ReasonBadBody, "the body is not JSON: %v at byte %d", err, syntax.Offset)
	}
	return spanrill.NewRefusal(spanrill.ReasonBadBody, "the body is not a JSON object: %v", err)
}

// fieldRefusal returns a refusal for one field of the body, or for a header.
func fieldRefusal(field, format string, args ...any) *spanrill.Refusal {
	return spanrill.NewRefusal(spanrill.ReasonBadField, format, args...).WithField(field)
}

// checkInput refuses a request without messages or prompt, or for a number of answers other than
// one.
func (in *inference) checkInput() *spanrill.Refusal {
	if in.body.N != nil && *in.body.N != 1 {
		return fieldRefusal("n", "the field n must be 1")
	}
	if in.path == PathChat && len(in.body.Messages) == 0 {
		return fieldRefusal("messages", "the field messages is missing")
	}
	if in.path == PathCompletions && len(in.body.Prompt) == 0 {
		return fieldRefusal("prompt", "the field prompt is missing")
	}
	return nil
}

// maxTokens returns how many tokens may be generated: as many as the caller requests, or the limit
// if it sets no number. A number below 1 or above the limit is refused.
func (in *inference) maxTokens() (int, *spanrill.Refusal) {
	limit := min(in.model.MaxTokens(), in.server.limits.StreamTokens)
	field, requested := "max_tokens", in.body.MaxTokens
	if in.body.MaxCompletionTokens != nil {
		field, requested = "max_completion_tokens", in.body.MaxCompletionTokens
	}
	if requested == nil {
		return limit, nil
	}
	if *requested < 1 || *requested > limit {
		return 0, fieldRefusal(field, "the field %s must be from 1 to %d", field, limit)
	}
	return *requested, nil
}

// seed returns the caller's seed, or a random one. All attempts use the same seed.
func (in *inference) seed() uint64 {
	if in.body.Seed != nil {
		return uint64(*in.body.Seed)
	}
	return in.server.Random.Uint64()
}

// collector concatenates the tokens of an answer.
type collector struct {
	text strings.Builder
}

// Token appends the text of the next token.
func (c *collector) Token(ev *spanrill.RunEvent) error {
	c.text.WriteString(ev.Text)
	return nil
}

// respondWhole runs the generation and answers with the whole text.
func (in *inference) respondWhole() {
	ctx, cancel := context.WithCancel(in.server.ctx)
	defer cancel()
	watch := in.server.streams.Start(ctx, "caller watch", func(ctx context.Context) error {
		return in.watchCaller(ctx, cancel)
	})
	answer := &collector{}
	result, refusal := in.server.Runner.Run(ctx, in.request, answer)
	cancel()
	<-watch.Done()
	in.recordFinished(result, refusal)
	if refusal != nil {
		in.endAdmission(0)
		in.refuse(refusal)
		return
	}
	in.endAdmission(result.Tokens())
	in.setOutcome(spanrill.OutcomeRan)
	in.server.Meters.CountOutcome(spanrill.OutcomeRan)
	in.ctx.Response.Header.Set(HeaderChain, formatChain(result.Chain()))
	in.writeJSON(in.completion(answer.text.String(), result))
}

// callerPollInterval is how often the connection of a waiting caller is checked.
const callerPollInterval = 200 * spanrill.Millis(1)

// watchCaller calls cancel when the caller closes the connection.
func (in *inference) watchCaller(ctx context.Context, cancel context.CancelFunc) error {
	conn := in.ctx.Conn()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-in.server.Clock.After(callerPollInterval):
		}
		if httpcall.ProbeConn(conn) == httpcall.ConnClosed {
			cancel()
			return nil
		}
	}
}

// formatChain returns the names of a chain's engines, separated by commas.
func formatChain(chain []spanrill.StageRef) string {
	names := make([]string, len(chain))
	for i, s := range chain {
		names[i] = s.Engine
	}
	return strings.Join(names, ",")
}

// completion returns the body of a whole answer.
func (in *inference) completion(text string, r *pipeline.Result) completion {
	finish := string(r.Finish())
	answer := choice{FinishReason: &finish}
	if in.path == PathChat {
		answer.Message = &message{Role: "assistant", Content: text}
	} else {
		answer.Text = &text
	}
	return completion{
		ID: in.id, Object: in.object(false), Created: time.Now().Unix(), Model: *in.body.Model,
		Choices: []choice{answer}, Usage: usageOf(r),
	}
}

// object returns the value of the JSON field object for a whole answer or for a chunk of a stream.
func (in *inference) object(chunk bool) string {
	switch {
	case in.path == PathCompletions:
		return "text_completion"
	case chunk:
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

// usageOf returns the token counts of a generation.
func usageOf(r *pipeline.Result) *usage {
	return &usage{
		PromptTokens: r.PromptTokens(), CompletionTokens: r.Tokens(),
		TotalTokens:   r.PromptTokens() + r.Tokens(),
		PromptDetails: promptDetails{CachedTokens: r.CachedTokens()},
	}
}
