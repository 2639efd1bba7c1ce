package callerapi

import (
	"strings"

	"spanrill"
	"spanrill/protocol/serviceapi"
	"spanrill/state/config"
	"spanrill/state/load"
)

// handleService forwards a call to a plain service, if the client account may make it. nameAndPath
// is the part of the request path after /services/.
func (c *call) handleService(nameAndPath string) {
	name, path, _ := strings.Cut(nameAndPath, "/")
	path = "/" + path
	grant := c.grant.Service(name)
	if grant == nil {
		c.refuse(spanrill.NewRefusal(spanrill.ReasonUnknownService,
			"client account %s has no service %q", c.grant.Account(), name))
		return
	}
	allowed := grant.Call(string(c.ctx.Method()), path)
	if allowed == nil {
		c.refuse(spanrill.NewRefusal(spanrill.ReasonCallNotAllowed,
			"template %s does not list %s %s of service %s", c.grant.Template(), c.ctx.Method(), path, name))
		return
	}
	release, refusal := c.server.Admission.Admit(c.server.ctx, c.grant, nil, 0)
	if refusal != nil {
		c.refuse(refusal)
		return
	}
	defer release(0)
	c.respond(c.dispatch(grant, c.serviceRequest(path, allowed)))
}

// serviceRequest builds the request for the service. It drops the hop-by-hop headers and the
// caller's key.
func (c *call) serviceRequest(path string, allowed *config.Call) *spanrill.ServiceRequest {
	if query := c.ctx.URI().QueryString(); len(query) > 0 {
		path += "?" + string(query)
	}
	req := &spanrill.ServiceRequest{
		Method: string(c.ctx.Method()), Path: path, Repeatable: allowed.Repeatable,
		Body: append([]byte(nil), c.ctx.PostBody()...),
	}
	for name, value := range c.ctx.Request.Header.All() {
		n := string(name)
		if !serviceapi.HopByHop(n) && n != "Authorization" {
			req.Headers = append(req.Headers, spanrill.Header{Name: n, Value: string(value)})
		}
	}
	req.Headers = append(req.Headers, spanrill.Header{Name: HeaderRequestID, Value: c.id})
	return req
}

// dispatch sends the call to the service. A call that must not be repeated and has an idempotency
// key runs under a claim of that key.
func (c *call) dispatch(grant *config.ServiceGrant, req *spanrill.ServiceRequest) (*spanrill.ServiceAnswer, *spanrill.Refusal) {
	serviceKey := load.ServiceKey{Service: grant.Service(), Site: grant.Site().Name}
	run := func() (*spanrill.ServiceAnswer, *spanrill.Refusal) {
		return c.server.Services.Do(c.server.ctx, serviceKey, req)
	}
	idempotencyKey := string(c.ctx.Request.Header.Peek(HeaderIdempotency))
	if idempotencyKey == "" || req.Repeatable {
		return run()
	}
	runClaimed := func() (*spanrill.ServiceAnswer, *spanrill.Refusal) {
		c.keyClaimed = true
		return run()
	}
	return c.server.Claims.Do(c.server.ctx, c.grant.Account()+"/"+grant.Service(), idempotencyKey, req, runClaimed)
}

// firstUncertainStatus is the lowest status of a service that does not tell whether the request
// ran.
const firstUncertainStatus = 500

// respond passes the answer of a service on to the caller, or refuses the call.
func (c *call) respond(answer *spanrill.ServiceAnswer, refusal *spanrill.Refusal) {
	if refusal != nil {
		c.refuse(refusal)
		return
	}
	outcome := spanrill.OutcomeRan
	if answer.Status >= firstUncertainStatus {
		outcome = spanrill.OutcomeUnknown
	}
	for _, h := range answer.Headers {
		c.ctx.Response.Header.Set(h.Name, h.Value)
	}
	c.ctx.Response.Header.Set(HeaderRequestID, c.id)
	c.setOutcome(outcome)
	c.server.Meters.CountOutcome(outcome)
	c.ctx.SetStatusCode(answer.Status)
	c.ctx.SetBody(answer.Body)
}
