// Package service is a stand-in for a plain service. It counts how often each request ran, so that
// tests can compare the answers that callers got with what the service did.
//
//	ANY  /...      runs the request; the field "id" of its body identifies it
//	GET  /status   returns the load report
//	GET  /runs     returns how often each request ran, by id
//	POST /faults   sets the faults; the body is a Faults
//
// # Usage
//
//	s := service.New("readings-1")
//	addr, err := s.Listen("127.0.0.1:0")
package service

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/standin/web"
)

// Faults are the faults that a service simulates. The zero value is a healthy service.
type Faults struct {
	LoseAnswers int  `json:"lose_answers"` // run the next n requests without an answer
	DelayMillis int  `json:"delay_millis"` // delay of each request
	Leaving     bool `json:"leaving"`      // report that the service is leaving
	FailStatus  int  `json:"fail_status"`  // error status of each answer, 0 for success
}

// Service is a stand-in for one instance of a plain service. Create it with New.
type Service struct {
	name    string
	mu      sync.Mutex
	runs    map[string]int // how often each request ran, by id
	faults  Faults
	running int // requests that run now
	server  *web.Server
}

// New returns a service without faults.
func New(name string) *Service {
	s := &Service{name: name, runs: map[string]int{}}
	s.server = web.New(s.handle)
	return s
}

// Listen starts the service on addr and returns the address that it is bound to.
func (s *Service) Listen(addr string) (string, error) {
	return s.server.Listen(addr)
}

// Close stops listening and waits for open requests.
func (s *Service) Close() {
	s.server.Close()
}

// SetFaults replaces the faults to simulate.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each request ran, by id.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		counts[id] = n
	}
	return counts
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/status":
		s.status(ctx)
	case "/runs":
		web.WriteJSON(ctx, s.Runs())
	case "/faults":
		var f Faults
		if web.ReadJSON(ctx, &f) {
			s.SetFaults(f)
		}
	default:
		s.run(ctx)
	}
}

func (s *Service) status(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	web.WriteJSON(ctx, spanrill.UpstreamStatus{
		Name: s.name, Leaving: s.faults.Leaving, Running: s.running, Slots: serviceSlots,
	})
}

// serviceSlots is the number of slots that a service reports.
const serviceSlots = 64

func (s *Service) run(ctx *fasthttp.RequestCtx) {
	var body struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(ctx.PostBody(), &body)
	loseAnswer, f := s.begin(body.ID)
	defer s.end()
	if f.DelayMillis > 0 {
		<-time.After(time.Duration(f.DelayMillis) * time.Millisecond)
	}
	if loseAnswer {
		ctx.Conn().Close()
		return
	}
	if f.FailStatus != 0 {
		ctx.Error("simulated failure of the service", f.FailStatus)
		return
	}
	web.WriteJSON(ctx, map[string]string{"id": body.ID, "path": string(ctx.Path()), "served_by": s.name})
}

// begin counts a request as run and as running. It returns the faults, and whether they require that
// the answer is lost.
func (s *Service) begin(id string) (loseAnswer bool, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.running++
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		loseAnswer = true
	}
	return loseAnswer, s.faults
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
