package spanrill

import "github.com/valyala/fasthttp"

// CallerRequest is what routing reads from the headers of a caller's request.
type CallerRequest struct {
	ID             string // differs for each attempt of the caller
	APIKey         string // API key, "" if none was sent
	Deadline       Millis // how long the caller will wait, counted from now, or 0 if unknown
	LastEventID    string // last event that the caller has received, or ""
	PromptTokens   int
	MaxTokens      int // upper limit of generated tokens
	ExpectedTokens int // the caller's estimate of generated tokens, or 0
	// Parts are the parts of the prompt that other requests may share, in order, without the last
	// one, which belongs to the request or its session alone.
	Parts []PromptPart
}

// PromptPart is the hash of the id of a part of a prompt.
type PromptPart uint64

// UpstreamRequest is what spanrill adds to a request that it forwards to an upstream.
type UpstreamRequest struct {
	EngineID    string // the only engine that may run the request
	Account     string // "" if the route needs no key
	Remaining   Millis // time left for the upstream
	LastEventID string // event after which the stream continues, or "" for its start
	Priority    int
	Path        []PathStage // nil for a plain service
}

// UpstreamResponse is what routing reads from the headers of an upstream's answer.
type UpstreamResponse struct {
	RequestID  string
	Signed     bool   // the answer is signed by the upstream that ran the request
	NotRun     bool   // the upstream reports that it has not run the request
	FailedAddr string // address of the engine that kept the path from running, or ""
	Load       string // load figures reported by the upstream, or ""
}

// HeaderCodec translates the headers of requests and answers.
type HeaderCodec interface {
	// ReadRequest decodes the headers of a caller's request.
	ReadRequest(h *fasthttp.RequestHeader) (CallerRequest, error)
	// WriteRequest changes h, a copy of the caller's headers, into the headers for an upstream.
	WriteRequest(h *fasthttp.RequestHeader, req UpstreamRequest)
	// ReadResponse decodes the headers of an upstream's answer.
	ReadResponse(h *fasthttp.ResponseHeader) UpstreamResponse
	// ReadNotice decodes what an upstream reports about itself in the headers of any answer.
	ReadNotice(h *fasthttp.ResponseHeader) Notice
	// CopyResponse copies the status and the end-to-end headers of an upstream's answer.
	CopyResponse(to, from *fasthttp.ResponseHeader)
	// WriteRefusal sets the headers of an error answer of spanrill's own.
	WriteRefusal(h *fasthttp.ResponseHeader, requestID string, retryAfter Millis)
}
