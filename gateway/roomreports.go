package gateway

import (
	"sync"
	"time"

	"github.com/pkg/errors"

	"spanrill/transport/peernet"
)

// maxReportWait bounds how long the one who sends reports waits for one daemon. A message on an open
// connection takes far less, and a dial of a daemon that cannot be reached half a second.
const maxReportWait = 20 * time.Millisecond

var errReportPending = errors.New("an earlier report still waits for a connection")

// roomReports sends reports to the daemons that grant room, at most one at a time to each. A daemon
// that cannot be reached delays the reports to others by maxReportWait: the others take back the
// room of a daemon that stops reporting.
type roomReports struct {
	send func(addr string, kind peernet.Kind, payload []byte) error
	wait time.Duration // how long it waits for one report

	mu      sync.Mutex
	pending map[string]bool // addresses to which a report is being sent
}

func newRoomReports(send func(string, peernet.Kind, []byte) error) *roomReports {
	return &roomReports{send: send, wait: maxReportWait, pending: map[string]bool{}}
}

// sendTo sends a report. If it still waits for a connection after maxReportWait, it is sent later or
// lost, without an error. It returns an error if an earlier one still waits.
func (s *roomReports) sendTo(addr string, kind peernet.Kind, payload []byte) error {
	if !s.begin(addr) {
		return errReportPending
	}
	result := make(chan error, 1)
	go func() {
		err := s.send(addr, kind, payload)
		s.end(addr)
		result <- err
	}()
	timer := time.NewTimer(s.wait)
	defer timer.Stop()
	select {
	case err := <-result:
		return err
	case <-timer.C:
		return nil
	}
}

// begin marks an address as one to which a report is being sent. It returns false if it was already.
func (s *roomReports) begin(addr string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[addr] {
		return false
	}
	s.pending[addr] = true
	return true
}

func (s *roomReports) end(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, addr)
}
