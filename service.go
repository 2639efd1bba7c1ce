package spanrill

import "context"

// Header is one header of a request or an answer.
type Header struct {
	Name  string
	Value string
}

// ServiceRequest is a call of a plain service.
type ServiceRequest struct {
	Method     string
	Path       string // path and query
	Headers    []Header
	Body       []byte
	Repeatable bool // whether the service's template allows the call to run more than once
}

// ServiceAnswer is the complete answer of a plain service.
type ServiceAnswer struct {
	Status  int
	Headers []Header
	Body    []byte
}

// Services calls plain services.
type Services interface {
	// Call makes one attempt. The error is a *CallError, which tells how far the attempt
	// got.
	Call(ctx context.Context, addr string, req *ServiceRequest) (*ServiceAnswer, error)
	// Status requests the status of one upstream.
	Status(ctx context.Context, addr string) (UpstreamStatus, error)
}
