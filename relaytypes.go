package spanrill

import "github.com/valyala/fasthttp"

// CallerRequest is what routing reads from the headers of a caller's request.
type CallerRequest struct {
	ID           string // unique for each attempt of a caller
	Key          string // "" if none was sent
	Deadline     Millis // how long the caller waits from now, or 0 if not said
	LastEvent    string // last event that the caller has received, or ""
	PromptTokens int
	MaxTokens    int // the most that may be generated
	GuessTokens  int // the caller's guess of what will be generated, or 0
}

// UpstreamSend is what spanrill adds to a request that it sends on.
type UpstreamSend struct {
	EngineID  string // no other engine may run the request
	Account   string // "" if the route needs no key
	Remaining Millis // how long the upstream may work
	LastEvent string // go on behind this event, or ""
	Priority  int
	Path      []PathPart // nil for a plain service
}

// UpstreamHead is what routing reads from the head of an upstream's answer.
type UpstreamHead struct {
	RequestID string
	Signed    bool   // the answer is signed by the upstream that ran the request
	NotRun    bool   // the upstream says that it has not run the request
	AtFault   string // address of the engine that kept a path from running
	Load      string // the upstream's own figures, or ""
}

// HeaderCodec translates the headers of requests and answers.
type HeaderCodec interface {
	// ReadRequest decodes the headers of a caller's request.
	ReadRequest(h *fasthttp.RequestHeader) (CallerRequest, error)
	// WriteSend changes a copy of the caller's headers to those for an upstream.
	WriteSend(h *fasthttp.RequestHeader, s UpstreamSend)
	// ReadHead decodes the headers of an upstream's answer.
	ReadHead(h *fasthttp.ResponseHeader) UpstreamHead
	// ReadNotice decodes what an upstream says of itself in the head of any answer.
	ReadNotice(h *fasthttp.ResponseHeader) Notice
	// CopyHead copies the headers of an upstream's answer for the caller.
	CopyHead(to, from *fasthttp.ResponseHeader)
	// WriteRefusal sets the headers of a final answer of spanrill's own.
	WriteRefusal(h *fasthttp.ResponseHeader, requestID string, retryAfter Millis)
}
