package gateway

import (
	"context"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill/protocol/peermsg"
	"spanrill/task"
	"spanrill/transport/peernet"
)

// maxQueuedNotices is the maximum number of notices that wait for one daemon: those of half a second
// at the largest rate of one service, in which a dial ends.
const maxQueuedNotices = 512

var errNoticesFull = errors.New("too many notices wait for the daemon")

// roomNotices sends notices to daemons, in order for each of them. A daemon that cannot be reached
// delays neither those who decide on requests nor the notices for others.
type roomNotices struct {
	send func(addr string, kind peernet.Kind, payload []byte) error
	log  logrus.FieldLogger
	wake chan struct{} // receives when an address was added to due

	mu     sync.Mutex
	queues map[string][]*peermsg.RoomNotice // by address, also while the last one is being sent
	due    []string                         // addresses for which no task runs yet
}

func newRoomNotices(send func(string, peernet.Kind, []byte) error, log logrus.FieldLogger) *roomNotices {
	return &roomNotices{send: send, log: log, wake: make(chan struct{}, 1), queues: map[string][]*peermsg.RoomNotice{}}
}

// add adds a notice to those that wait for the daemon at an address. It does not block.
func (s *roomNotices) add(addr string, n *peermsg.RoomNotice) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue, busy := s.queues[addr]
	if len(queue) >= maxQueuedNotices {
		return errNoticesFull
	}
	s.queues[addr] = append(queue, n)
	if busy {
		return nil
	}
	s.due = append(s.due, addr)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

// run sends notices until the context ends.
func (s *roomNotices) run(ctx context.Context) error {
	var tasks task.Group
	for {
		select {
		case <-ctx.Done():
			return tasks.Wait()
		case <-s.wake:
		}
		for _, addr := range s.takeDue() {
			tasks.Start(ctx, "room notices", func(ctx context.Context) error { return s.sendTo(ctx, addr) })
		}
	}
}

func (s *roomNotices) takeDue() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	due := s.due
	s.due = nil
	return due
}

// sendTo sends the notices that wait for one daemon. It drops them once one cannot be sent: requests
// that hear nothing are decided by their own daemon.
func (s *roomNotices) sendTo(ctx context.Context, addr string) error {
	for ctx.Err() == nil {
		n := s.next(addr)
		if n == nil {
			return nil
		}
		if err := s.sendOne(addr, n); err != nil {
			s.log.WithError(err).WithField("peer", addr).Debug("cannot send what became of requests for room")
			s.clear(addr)
		}
	}
	return nil
}

func (s *roomNotices) sendOne(addr string, n *peermsg.RoomNotice) error {
	payload, err := peermsg.Encode(n)
	if err != nil {
		return err
	}
	return s.send(addr, peermsg.KindRoomNotice, payload)
}

// next removes and returns the next notice for an address, or nil once there is none.
func (s *roomNotices) next(addr string) *peermsg.RoomNotice {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queues[addr]
	if len(queue) == 0 {
		delete(s.queues, addr)
		return nil
	}
	s.queues[addr] = queue[1:]
	return queue[0]
}

// clear drops the notices for an address.
func (s *roomNotices) clear(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queues[addr] = nil
}
