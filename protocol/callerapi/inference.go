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

// inference is a call of a model.
type inference struct {
	*call
	path    string
	body    inferenceBody
	model   *config.ModelGrant
	request *pipeline.Request
	release func(tokens int)
	skip    int // tokens that the caller already has
	resume  resumePoint
}

func (c *call) inference(path string) {
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
	in.release = release
	if in.body.Stream {
		in.stream()
		return
	}
	in.whole()
}

func (in *inference) parse() *spanrill.Refusal {
	raw := append([]byte(nil), in.ctx.PostBody()...)
	if err := json.Unmarshal(raw, &in.body); err != nil {
		return badBody(err)
	}
	if in.body.Model == nil || *in.body.Model == "" {
		return badField("model", "the field model is missing")
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

func (in *inference) newRequest(raw []byte, maxTokens int) {
	m := in.model.Model()
	in.request = &pipeline.Request{
		ID: in.id, Path: in.path, Body: raw, Layers: m.Layers, Seed: in.seed(),
		Key:      load.ModelKey{Model: m.Name, Version: m.Version, Site: in.model.Site().Name},
		Priority: in.model.Priority(), MaxTokens: maxTokens,
	}
}

// badBody explains why a body cannot be read, and where.
func badBody(err error) *spanrill.Refusal {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) && wrongType.Field != "" {
		return badField(wrongType.Field, "the field %s must be a %s, not a %s", wrongType.Field, wrongType.Type, wrongType.Value)
	}
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		return spanrill.NewRefusal(spanrill.ReasonBadBody, "the body is not JSON: %v at byte %d", err, syntax.Offset)
	}
	return spanrill.NewRefusal(spanrill.ReasonBadBody, "the body is no JSON object: %v", err)
}

func badField(field, format string, args ...any) *spanrill.Refusal {
	return spanrill.NewRefusal(spanrill.ReasonBadField, format, args...).WithField(field)
}

func (in *inference) checkInput() *spanrill.Refusal {
	if in.body.N != nil && *in.body.N != 1 {
		return badField("n", "the field n must be 1")
	}
	if in.path == PathChat && len(in.body.Messages) == 0 {
		return badField("messages", "the field messages is missing")
	}
	if in.path == PathCompletions && len(in.body.Prompt) == 0 {
		return badField("prompt", "the field prompt is missing")
	}
	return nil
}

func (in *inference) maxTokens() (int, *spanrill.Refusal) {
	limit := min(in.model.MaxTokens(), in.server.limits.StreamTokens)
	field, asked := "max_tokens", in.body.MaxTokens
	if in.body.MaxCompletionTokens != nil {
		field, asked = "max_completion_tokens", in.body.MaxCompletionTokens
	}
	if asked == nil {
		return limit, nil
	}
	if *asked < 1 || *asked > limit {
		return 0, badField(field, "the field %s must be from 1 to %d", field, limit)
	}
	return *asked, nil
}

// seed returns the caller's seed, or a new one that holds for all attempts.
func (in *inference) seed() uint64 {
	if in.body.Seed != nil {
		return uint64(*in.body.Seed)
	}
	return in.server.Random.Uint64()
}

// collector gathers a whole answer.
type collector struct {
	text strings.Builder
}

// Token takes the next token.
func (c *collector) Token(ev *spanrill.RunEvent) error {
	c.text.WriteString(ev.Text)
	return nil
}

func (in *inference) whole() {
	ctx, cancel := context.WithCancel(in.server.ctx)
	defer cancel()
	watch := in.server.streams.Start(ctx, "caller watch", func(ctx context.Context) error {
		return in.watchCaller(ctx, cancel)
	})
	answer := &collector{}
	result, refusal := in.server.Runner.Run(ctx, in.request, answer)
	cancel()
	<-watch.Done()
	in.finished(result, refusal)
	if refusal != nil {
		in.release(0)
		in.refuse(refusal)
		return
	}
	in.release(result.Tokens())
	in.setOutcome(spanrill.OutcomeRan)
	in.server.Meters.CountOutcome(spanrill.OutcomeRan)
	in.ctx.Response.Header.Set(HeaderChain, chainText(result.Chain()))
	in.writeJSON(in.completion(answer.text.String(), result))
}

// callerPoll is how often a caller that waits is looked after.
const callerPoll = 200 * spanrill.Millis(1)

// watchCaller cancels the request when its caller closes the connection.
func (in *inference) watchCaller(ctx context.Context, cancel context.CancelFunc) error {
	conn := in.ctx.Conn()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-in.server.Clock.After(callerPoll):
		}
		if httpcall.PeerOpen(conn) == httpcall.PeerGone {
			cancel()
			return nil
		}
	}
}

func chainText(chain []spanrill.StageRef) string {
	names := make([]string, len(chain))
	for i, s := range chain {
		names[i] = s.Engine
	}
	return strings.Join(names, ",")
}

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

func (in *inference) object(chunk bool) string {
	switch {
	case in.path == PathCompletions:
		return "text_completion"
	case chunk:
		return "chat.completion.chunk"
	}
	return "chat.completion"
}

func usageOf(r *pipeline.Result) *usage {
	return &usage{
		PromptTokens: r.PromptTokens(), CompletionTokens: r.Tokens(),
		TotalTokens:   r.PromptTokens() + r.Tokens(),
		PromptDetails: promptDetail{CachedTokens: r.CachedTokens()},
	}
}
