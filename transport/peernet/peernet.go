// Package peernet carries messages between daemons over TCP.
//
// Each daemon listens for its peers and dials a connection to each peer that
// it sends to. Replies come back on the connection of their request. Both ends
// prove with their first frames that they know the fleet's secret, and derive
// the keys of the connection from fresh random numbers.
//
// The callbacks of the event loop never wait: what arrives is handed to a few
// workers over a bounded queue, and what is sent is bounded for each peer. What
// does not fit is dropped and counted, since every message is repeated or asked
// for again by the layers above. A connection that stays open and says nothing
// more is replaced (silence.go).
//
// # Usage
//
//	n, err := peernet.New("10.0.0.1:8082", "entry-1", secret, handler)
//	err = n.Run(ctx)
//	reply, err := n.Ask(ctx, "10.0.0.2:8082", kind, payload)
package peernet

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/meter"
	"spanrill/task"
)

// Kind is a kind of message. The layers above number their own kinds from 1.
type Kind uint8

// Kinds of this package.
const (
	kindHello Kind = 0
	// kindReply answers a request.
	kindReply Kind = 255
)

// Handler takes the messages of peers. A message without a reply is handled on
// a worker and must not wait long. A request has a goroutine of its own and is
// answered with the payload returned.
type Handler func(from string, kind Kind, payload []byte) (reply []byte)

// Net carries messages between daemons.
type Net struct {
	listen  string
	name    string
	secret  []byte
	handler Handler
	log     logrus.FieldLogger
	meters  *meter.Meters

	engine  gnet.Engine
	booted  chan struct{}
	client  *gnet.Client
	started chan struct{}    // closed once the client may dial
	joining sync.Mutex       // makes one link at a time
	stopped bool             // guarded by joining
	mu      sync.Mutex       // guards links and taken
	links   map[string]*link // by address dialed
	taken   map[*link]bool   // that peers have dialed
	idle    time.Duration    // after which one of these is closed
	begun   time.Time
	work    chan inbound
	nextID  atomic.Uint64
	pending sync.Map // id to chan []byte

	requests task.Group // requests of peers that are being answered
}

// inbound is a message that waits for a worker.
type inbound struct {
	from    *link
	kind    Kind
	id      uint64
	payload []byte
}

// Option changes a default of New.
type Option func(*Net)

// WithLogger sets where events go.
func WithLogger(log logrus.FieldLogger) Option {
	return func(n *Net) { n.log = log }
}

// WithMeters sets the counters.
func WithMeters(m *meter.Meters) Option {
	return func(n *Net) { n.meters = m }
}

// WithIdleLimit sets after how long without a byte a connection that a peer made
// may be closed.
func WithIdleLimit(d time.Duration) Option {
	return func(n *Net) { n.idle = d }
}

const (
	inboundQueue = 1024
	workers      = 4
	dialTimeout  = 500 * time.Millisecond
	maxQueued    = 4 << 20 // bytes that wait to be sent to one peer
)

// Errors of sending.
var (
	// ErrNoPeer means that no connection to the peer could be made.
	ErrNoPeer = errors.New("peer cannot be reached")
	// ErrQueueFull means that too much waits to be sent to the peer.
	ErrQueueFull = errors.New("queue of the peer is full")
)

// New returns a net that listens on listen once it runs.
func New(listen, name, secret string, handler Handler, opts ...Option) (*Net, error) {
	n := &Net{
		listen: listen, name: name, secret: []byte(secret), handler: handler,
		log: logrus.StandardLogger(), meters: meter.New(),
		booted: make(chan struct{}), started: make(chan struct{}), links: map[string]*link{}, work: make(chan inbound, inboundQueue),
		taken: map[*link]bool{}, idle: defaultIdle, begun: time.Now(),
	}
	for _, o := range opts {
		o(n)
	}
	client, err := gnet.NewClient(dialing{n}, gnet.WithLogger(silent{}), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	if err != nil {
		return nil, fmt.Errorf("make client: %w", err)
	}
	n.client = client
	return n, nil
}

// Run carries messages until the context ends.
func (n *Net) Run(ctx context.Context) error {
	if err := n.client.Start(); err != nil {
		return fmt.Errorf("start client: %w", err)
	}
	close(n.started)
	var tasks task.Group
	for range workers {
		tasks.Start(ctx, "peer worker", n.serveInbound)
	}
	served := make(chan error, 1)
	tasks.Start(ctx, "peer listener", func(context.Context) error {
		err := gnet.Run(listening{n}, "tcp://"+n.listen, gnet.WithLogger(silent{}), gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
		served <- err
		return err
	})
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
		n.stopListening()
	}
	n.stopDialing()
	_ = tasks.Wait()
	if err != nil {
		return fmt.Errorf("listen for peers on %s: %w", n.listen, err)
	}
	return ctx.Err()
}

const stopTimeout = 2 * time.Second

func (n *Net) stopListening() {
	select {
	case <-n.booted:
	case <-time.After(stopTimeout):
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	_ = n.engine.Stop(ctx)
}

// stopDialing ends the connections that were dialed and allows no more.
func (n *Net) stopDialing() {
	n.joining.Lock()
	n.stopped = true
	n.joining.Unlock()
	_ = n.client.Stop()
}

// Listening returns a channel that is closed once peers can connect.
func (n *Net) Listening() <-chan struct{} { return n.booted }

// Send sends a message that gets no reply.
func (n *Net) Send(addr string, kind Kind, payload []byte) error {
	l, err := n.link(addr)
	if err != nil {
		return err
	}
	return l.send(kind, 0, payload)
}

// Ask sends a request and returns its reply.
func (n *Net) Ask(ctx context.Context, addr string, kind Kind, payload []byte) ([]byte, error) {
	l, err := n.link(addr)
	if err != nil {
		return nil, err
	}
	id := n.nextID.Add(1)
	answer := make(chan []byte, 1)
	n.pending.Store(id, answer)
	defer n.pending.Delete(id)
	sent := n.elapsed()
	if err := l.send(kind, id, payload); err != nil {
		return nil, err
	}
	select {
	case reply := <-answer:
		return reply, nil
	case <-l.closed:
		return nil, &spanrill.CallError{Phase: spanrill.PhaseAnswer, Written: len(payload), Cause: ErrNoPeer}
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			n.unanswered(l, sent)
		}
		return nil, fmt.Errorf("ask %s: %w", addr, ctx.Err())
	}
}

// link returns the connection to a peer, and makes one if there is none.
func (n *Net) link(addr string) (*link, error) {
	if l := n.linkTo(addr); l != nil {
		return l, nil
	}
	select {
	case <-n.started:
	default:
		return nil, errors.Wrap(ErrNoPeer, "not started")
	}
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, errors.Wrapf(ErrNoPeer, "%s: %v", addr, err)
	}
	return n.enroll(addr, conn)
}

// enroll makes a link of a connection. It waits for the event loop, which takes
// mu when another connection ends; mu is therefore not held meanwhile.
func (n *Net) enroll(addr string, conn net.Conn) (*link, error) {
	n.joining.Lock()
	defer n.joining.Unlock()
	if l := n.linkTo(addr); l != nil {
		_ = conn.Close()
		return l, nil
	}
	if n.stopped {
		_ = conn.Close()
		return nil, errors.Wrap(ErrNoPeer, "stopped")
	}
	l := n.newLink(true)
	l.addr = addr
	if _, err := n.client.EnrollContext(conn, l); err != nil {
		return nil, errors.Wrapf(ErrNoPeer, "%s: %v", addr, err)
	}
	n.mu.Lock()
	n.links[addr] = l
	n.mu.Unlock()
	select {
	case <-l.closed: // before it was kept
		n.forget(l)
	default:
	}
	return l, nil
}

// linkTo returns the link to a peer that is kept, or nil.
func (n *Net) linkTo(addr string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[addr]
}

func (n *Net) forget(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.taken, l)
	if n.links[l.addr] == l {
		delete(n.links, l.addr)
	}
}

// serveInbound hands messages to the handler.
func (n *Net) serveInbound(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-n.work:
			if m.id == 0 {
				n.handler(m.from.peer, m.kind, m.payload)
				continue
			}
			n.requests.Start(ctx, "peer request", func(context.Context) error {
				return m.from.send(kindReply, m.id, n.handler(m.from.peer, m.kind, m.payload))
			})
		}
	}
}

// silent drops the log lines of gnet; what matters is logged as an event here.
type silent struct{}

// Debugf drops a line.
func (silent) Debugf(string, ...any) {}

// Infof drops a line.
func (silent) Infof(string, ...any) {}

// Warnf drops a line.
func (silent) Warnf(string, ...any) {}

// Errorf drops a line.
func (silent) Errorf(string, ...any) {}

// Fatalf drops a line.
func (silent) Fatalf(string, ...any) {}
