// Package service is a stand-in for a plain service. It counts how often each
// request ran, so that a test can compare what callers were told with what
// happened.
//
//	ANY  /...      runs the request; the body's field "id" names it
//	GET  /status   the load report
//	GET  /runs     how often each id ran
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

// Faults says how the service misbehaves.
type Faults struct {
	LoseAnswers int  `json:"lose_answers"` // the next n requests run and their answers are lost
	DelayMillis int  `json:"delay_millis"` // every request takes this long
	Leaving     bool `json:"leaving"`      // reported in the status
	FailStatus  int  `json:"fail_status"`  // answered in place of 200
}

// Service is the stand-in.
type Service struct {
	name   string
	mu     sync.Mutex
	runs   map[string]int
	faults Faults
	active int
	server *web.Server
}

// New returns a service that is healthy and has run nothing.
func New(name string) *Service {
	s := &Service{name: name, runs: map[string]int{}}
	s.server = web.New(s.handle)
	return s
}

// Listen serves on addr and returns the address in use.
func (s *Service) Listen(addr string) (string, error) {
	return s.server.Listen(addr)
}

// Close stops serving.
func (s *Service) Close() {
	s.server.Close()
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often each request ran.
func (s *Service) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		c[id] = n
	}
	return c
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
		Name: s.name, Leaving: s.faults.Leaving, Running: s.active, Slots: serviceSlots,
	})
}

// serviceSlots is the number of requests that a service runs at once.
const serviceSlots = 64

func (s *Service) run(ctx *fasthttp.RequestCtx) {
	var body struct {
		ID string `json:"id"`
	}
	_ = json.Unmarshal(ctx.PostBody(), &body)
	lose, f := s.begin(body.ID)
	defer s.end()
	if f.DelayMillis > 0 {
		<-time.After(time.Duration(f.DelayMillis) * time.Millisecond)
	}
	if lose {
		ctx.Conn().Close()
		return
	}
	if f.FailStatus != 0 {
		ctx.Error("service fault", f.FailStatus)
		return
	}
	web.WriteJSON(ctx, map[string]string{"id": body.ID, "path": string(ctx.Path()), "served_by": s.name})
}

func (s *Service) begin(id string) (lose bool, f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
	s.active++
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		lose = true
	}
	return lose, s.faults
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
}
