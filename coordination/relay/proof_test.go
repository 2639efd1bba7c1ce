package relay

import (
	"context"
	"testing"

	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/meter"
	"spanrill/state/routes"
)

// scriptedProver confirms the configuration at once, or not at all.
type scriptedProver struct {
	prove  func(since spanrill.Millis) bool
	silent bool
	asked  int
}

func (p *scriptedProver) Prove(_ context.Context, since spanrill.Millis) bool {
	p.asked++
	return p.prove(since)
}
func (p *scriptedProver) StoreSilent() bool { return p.silent }

// Guards against requests that are refused for good, or routed, by a configuration whose proof is older
// than a change may take, and against requests with a key that are sent by one whose proof is older than
// a withdrawn key may work.
func TestDecisionsNeedRecentProof(t *testing.T) {
	const (
		changeAge, keyAge = 2000, 4300
		served            = spanrill.Reason(255)
		stale             = spanrill.ReasonConfigStale
	)
	for _, c := range []struct {
		name      string
		path, key string
		proofAge  spanrill.Millis
		proves    bool // a proof can be had
		answers   bool // the store is not known to answer nobody
		older     bool // the store was restored to a lower version
		want      spanrill.Reason
		wantAsked int
	}{
		{"recent proof", "/known", "key", changeAge, false, true, false, served, 0},
		{"recent proof, no such route", "/other", "key", changeAge, false, true, false, spanrill.ReasonUnknownRoute, 0},
		{"recent proof, no such key", "/known", "gone", changeAge, false, true, false, spanrill.ReasonBadKey, 0},
		{"old proof, proved", "/known", "key", changeAge + 1, true, true, false, served, 1},
		{"old proof, proved, no such route", "/other", "key", changeAge + 1, true, true, false, spanrill.ReasonUnknownRoute, 1},
		{"old proof, proved, no such key", "/known", "gone", keyAge + 1, true, true, false, spanrill.ReasonBadKey, 1},
		{"old proof", "/known", "key", changeAge + 1, false, true, false, stale, 1},
		{"old proof, no key needed", "/open", "", changeAge + 1, false, true, false, stale, 1},
		{"old proof, no such route", "/other", "key", changeAge + 1, false, true, false, stale, 1},
		{"old proof, the store answers nobody", "/known", "key", keyAge, false, false, false, served, 1},
		{"old proof, the store answers nobody, no such route", "/other", "key", changeAge + 1, false, false, false, stale, 1},
		{"old proof, the store answers nobody, no such key", "/known", "gone", changeAge + 1, false, false, false, stale, 1},
		{"proof too old for keys, the store answers nobody", "/known", "key", keyAge + 1, false, false, false, stale, 1},
		{"proof too old for keys, no key needed", "/open", "", 60_000, false, false, false, served, 1},
		{"old proof, the store has an older version", "/known", "key", keyAge, false, true, true, served, 1},
		{"old proof, the store has an older version, no such route", "/other", "key", keyAge, false, true, true, stale, 1},
		{"no proof ever", "/known", "key", -spanrill.Never, false, false, false, stale, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			q, manual := plainRequest()
			manual.Advance(100_000)
			r := q.relay
			r.Config, r.Meters, r.Codec = routes.NewCurrent(manual), meter.New(), keyCodec{key: c.key}
			r.options = Options{MaxChangeAge: changeAge, MaxKeyAge: keyAge}
			r.Config.Update(routes.New(&spanrill.RouteConfig{
				Version:  2,
				Routes:   []spanrill.Route{proofRoute("/known", false), proofRoute("/open", true)},
				Services: []spanrill.ServiceInfo{{Name: "s"}}, Accounts: []spanrill.Account{{Name: "a", Keys: []string{"key"}}},
			}), nil, 7)
			r.Config.ConfirmUnchanged(7, manual.Now()-c.proofAge)
			if c.older {
				r.Config.Update(routes.New(&spanrill.RouteConfig{Version: 1}), nil, 9)
			}
			prover := &scriptedProver{silent: !c.answers, prove: func(spanrill.Millis) bool {
				if c.proves {
					r.Config.ConfirmUnchanged(7, manual.Now())
				}
				return c.proves
			}}
			r.Proof = prover
			q.http = &fasthttp.RequestCtx{}
			q.http.Request.Header.SetRequestURI(c.path)
			got := served
			if refusal := q.admit(); refusal != nil {
				got = refusal.Reason()
			}
			if got != c.want || prover.asked != c.wantAsked {
				t.Fatalf("reason %v, asked for proof %d times; want %v and %d", got, prover.asked, c.want, c.wantAsked)
			}
		})
	}
}

// keyCodec reads requests that all have the same key.
type keyCodec struct {
	spanrill.HeaderCodec
	key string
}

func (c keyCodec) ReadRequest(*fasthttp.RequestHeader) (spanrill.CallerRequest, error) {
	return spanrill.CallerRequest{APIKey: c.key}, nil
}

func proofRoute(prefix string, exempt bool) spanrill.Route {
	return spanrill.Route{Name: prefix, Prefix: prefix, AuthExempt: exempt, Shares: []spanrill.WeightedService{{Service: "s", Weight: 1}}}
}

// Guards against a final refusal by a configuration that has withdrawn a key and may itself have been
// replaced by one that returns it.
func TestWithdrawnKeyMayHaveReturned(t *testing.T) {
	for _, c := range []struct {
		proofAge spanrill.Millis
		want     spanrill.Reason
	}{{2000, spanrill.ReasonBadKey}, {2001, spanrill.ReasonConfigStale}} {
		q, manual := plainRequest()
		manual.Advance(100_000)
		q.relay.Config, q.relay.options = routes.NewCurrent(manual), Options{MaxChangeAge: 2000, MaxKeyAge: 4300}
		q.account, q.head.APIKey = &spanrill.Account{}, "key"
		q.relay.Config.Update(routes.New(&spanrill.RouteConfig{Version: 2}), nil, 7)
		q.relay.Config.ConfirmUnchanged(7, manual.Now()-c.proofAge)
		if refusal := q.checkCallerAndKey(); refusal == nil || refusal.Reason() != c.want {
			t.Errorf("with a proof of %d ms refused with %v, want %v", c.proofAge, refusal, c.want)
		}
	}
}
