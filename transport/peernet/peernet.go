// Package peernet carries messages between daemons over TCP.
//
// Each daemon listens for its peers and dials a connection to each peer that it sends to. Replies
// come back on the connection of their request. The first frame of each side, its hello, proves
// that it knows the fleet secret. The keys of the connection are derived from random nonces that
// the hellos carry.
//
// The callbacks of the event loop never block: messages that arrive go to a few workers through a
// bounded queue, and the bytes that wait to be sent are bounded for each peer. Messages over these
// bounds are dropped and logged, since the layers above repeat or request every message again.
// A connection that stays open but is silent is replaced (silence.go).
//
// # Usage
//
//	n, err := peernet.New("10.0.0.1:8082", "entry-1", secret, handler)
//	err = n.Run(ctx)
//	reply, err := n.Request(ctx, "10.0.0.2:8082", kind, payload)
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

// Kind is the kind of a message. The layers above number their kinds from 1.
type Kind uint8

// The kinds that this package uses.
const (
	kindHello Kind = 0
	// kindReply is the reply to a request and has its id.
	kindReply Kind = 255
)

// Handler handles the messages of peers. For a message without a reply it runs on a worker and must
// not block for long. For a request it runs on a goroutine of its own, and the payload that it
// returns is the reply.
type Handler func(from string, kind Kind, payload []byte) (reply []byte)

// Net carries messages between daemons.
type Net struct {
	listen  string
	name    string
	secret  []byte
	handler Handler
	log     logrus.FieldLogger
	meters  *meter.Meters

	engine    gnet.Engine   // of the listener, set before booted is closed
	booted    chan struct{} // closed once peers can connect
	client    *gnet.Client
	started   chan struct{}    // closed once connections can be dialed
	enrollMu  sync.Mutex       // held while a dialed connection becomes a link
	stopped   bool             // guarded by enrollMu
	mu        sync.Mutex       // guards links and accepted
	links     map[string]*link // links that this daemon dialed, by address
	accepted  map[*link]bool   // links that peers dialed
	idleLimit time.Duration    // time without a byte after which an accepted link may be closed
	startTime time.Time        // origin of elapsed
	inbox     chan inbound
	nextID    atomic.Uint64 // id of the last request
	pending   sync.Map      // request id to chan []byte, which takes the reply

	requests task.Group // handlers that run for requests of peers
}

// inbound is a received message that waits for a worker.
type inbound struct {
	from    *link
	kind    Kind
	id      uint64
	payload []byte
}

// Option changes a default of New.
type Option func(*Net)

// WithLogger sets the logger for events.
func WithLogger(log logrus.FieldLogger) Option {
	return func(n *Net) { n.log = log }
}

// WithMeters sets the counters.
func WithMeters(m *meter.Meters) Option {
	return func(n *Net) { n.meters = m }
}

// WithIdleLimit sets the time without a byte after which a connection that a peer dialed may be
// closed.
func WithIdleLimit(d time.Duration) Option {
	return func(n *Net) { n.idleLimit = d }
}

const (
	inboxSize   = 1024 // received messages that may wait for a worker
	workers     = 4
	dialTimeout = 500 * time.Millisecond
	maxQueued   = 4 << 20 // bytes that may wait to be sent to one peer
)

// Errors of Send and Request.
var (
	// ErrNoPeer means that no connection to the peer could be made.
	ErrNoPeer = errors.New("peer cannot be reached")
	// ErrQueueFull means that too many bytes or messages wait to be sent to the peer.
	ErrQueueFull = errors.New("send queue of the peer is full")
)

// New returns a Net that listens on the address listen once Run is called.
func New(listen, name, secret string, handler Handler, opts ...Option) (*Net, error) {
	n := &Net{
		listen: listen, name: name, secret: []byte(secret), handler: handler,
		log: logrus.StandardLogger(), meters: meter.New(),
		booted: make(chan struct{}), started: make(chan struct{}), links: map[string]*link{}, inbox: make(chan inbound, inboxSize),
		accepted: map[*link]bool{}, idleLimit: defaultIdleLimit, startTime: time.Now(),
	}
	for _, o := range opts {
		o(n)
	}
	client, err := gnet.NewClient(dialHandler{n}, gnet.WithLogger(discardLogger{}), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
	if err != nil {
		return nil, fmt.Errorf("make client: %w", err)
	}
	n.client = client
	return n, nil
}

// Run listens for peers and carries messages until the context ends or the listener fails.
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
		err := gnet.Run(acceptHandler{n}, "tcp://"+n.listen, gnet.WithLogger(discardLogger{}), gnet.WithReuseAddr(true), gnet.WithTCPNoDelay(gnet.TCPNoDelay))
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

// stopListening stops the listener and closes the connections that peers dialed.
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

// stopDialing closes the connections that were dialed and prevents new ones.
func (n *Net) stopDialing() {
	n.enrollMu.Lock()
	n.stopped = true
	n.enrollMu.Unlock()
	_ = n.client.Stop()
}

// Listening returns a channel that is closed once peers can connect.
func (n *Net) Listening() <-chan struct{} { return n.booted }

// Send queues a message that gets no reply. A nil error does not mean that the peer receives it.
func (n *Net) Send(addr string, kind Kind, payload []byte) error {
	l, err := n.link(addr)
	if err != nil {
		return err
	}
	return l.send(kind, 0, payload)
}

// Request sends a request and returns the peer's reply. It fails when the context ends or the
// connection closes first.
func (n *Net) Request(ctx context.Context, addr string, kind Kind, payload []byte) ([]byte, error) {
	l, err := n.link(addr)
	if err != nil {
		return nil, err
	}
	id := n.nextID.Add(1)
	replies := make(chan []byte, 1)
	n.pending.Store(id, replies)
	defer n.pending.Delete(id)
	sent := n.elapsed()
	if err := l.send(kind, id, payload); err != nil {
		return nil, err
	}
	select {
	case reply := <-replies:
		return reply, nil
	case <-l.closed:
		return nil, &spanrill.CallError{Phase: spanrill.PhaseAnswer, Written: len(payload), Cause: ErrNoPeer}
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			n.recordTimeout(l, sent)
		}
		return nil, fmt.Errorf("ask %s: %w", addr, ctx.Err())
	}
}

// link returns the link to a peer, and dials one if there is none.
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

// enroll adds a dialed connection to the event loop and returns its link. It does not hold mu while
// it waits for the event loop, which itself locks mu when another connection closes.
func (n *Net) enroll(addr string, conn net.Conn) (*link, error) {
	n.enrollMu.Lock()
	defer n.enrollMu.Unlock()
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
	case <-l.closed: // closed before it was added to links
		n.removeLink(l)
	default:
	}
	return l, nil
}

// linkTo returns the current link to a peer, or nil.
func (n *Net) linkTo(addr string) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.links[addr]
}

// removeLink removes a link, so that the next message to its peer dials a new one.
func (n *Net) removeLink(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.accepted, l)
	if n.links[l.addr] == l {
		delete(n.links, l.addr)
	}
}

// serveInbound is the loop of a worker. It passes received messages to the handler and sends the
// replies to requests.
func (n *Net) serveInbound(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-n.inbox:
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

// discardLogger drops the log lines of gnet. What matters to operators is logged as events.
type discardLogger struct{}

// Debugf drops a line.
func (discardLogger) Debugf(string, ...any) {}

// Infof drops a line.
func (discardLogger) Infof(string, ...any) {}

// Warnf drops a line.
func (discardLogger) Warnf(string, ...any) {}

// Errorf drops a line.
func (discardLogger) Errorf(string, ...any) {}

// Fatalf drops a line.
func (discardLogger) Fatalf(string, ...any) {}
