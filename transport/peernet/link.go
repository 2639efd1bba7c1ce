package peernet

import (
	"bytes"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"spanrill/events"
	"spanrill/transport/frame"
)

// link is one connection to a peer.
type link struct {
	net    *Net
	dialed bool
	addr   string // address dialed, or ""
	conn   gnet.Conn
	opened chan struct{}
	closed chan struct{}
	nonce  [nonceSize]byte

	// Read by the event loop alone.
	reader *frame.Reader
	peer   string
	ready  bool

	mu     sync.Mutex // orders the frames sent
	writer *frame.Writer
	early  []message // sent before the keys were there
	queued atomic.Int64
	heard  atomic.Int64 // when bytes came last, as elapsed gives it
	misses atomic.Int32 // questions without an answer since then
}

// message is what waits for the keys.
type message struct {
	kind    Kind
	id      uint64
	payload []byte
}

const nonceSize = 16

// hello is the first message of both ends.
type hello struct {
	Name  string
	Nonce []byte
}

// maxEarly bounds the messages that wait for the keys.
const maxEarly = 64

func (n *Net) newLink(dialed bool) *link {
	l := &link{net: n, dialed: dialed, opened: make(chan struct{}), closed: make(chan struct{})}
	_, _ = rand.Read(l.nonce[:])
	l.reader = frame.NewReader(n.helloKey())
	return l
}

func (n *Net) helloKey() frame.Key { return frame.DeriveKey(n.secret, []byte("hello")) }

// sessionKeys returns the keys of both directions.
func (l *link) sessionKeys(theirs []byte) (send, receive frame.Key) {
	dialer, listener := l.nonce[:], theirs
	if !l.dialed {
		dialer, listener = theirs, l.nonce[:]
	}
	up := frame.DeriveKey(l.net.secret, []byte("dialer to listener"), dialer, listener)
	down := frame.DeriveKey(l.net.secret, []byte("listener to dialer"), dialer, listener)
	if l.dialed {
		return up, down
	}
	return down, up
}

// dialing handles the connections that this daemon made.
type dialing struct{ *Net }

// OnBoot does nothing.
func (dialing) OnBoot(gnet.Engine) gnet.Action { return gnet.None }

// listening handles the connections that peers made.
type listening struct{ *Net }

// OnBoot keeps the engine for the stop.
func (l listening) OnBoot(eng gnet.Engine) gnet.Action {
	l.engine = eng
	close(l.booted)
	return gnet.None
}

// OnShutdown does nothing.
func (n *Net) OnShutdown(gnet.Engine) {}

// OnTick does nothing.
func (n *Net) OnTick() (time.Duration, gnet.Action) { return 0, gnet.None }

// OnOpen sends the hello.
func (n *Net) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l, ok := c.Context().(*link)
	if !ok {
		l = n.newLink(false)
		c.SetContext(l)
	}
	l.conn = c
	l.hear()
	if !l.dialed {
		n.take(l)
	}
	close(l.opened)
	payload, err := msgpack.Marshal(hello{Name: n.name, Nonce: l.nonce[:]})
	if err != nil {
		return nil, gnet.Close
	}
	return frame.NewWriter(n.helloKey()).Append(nil, uint8(kindHello), 0, payload), gnet.None
}

// OnClose forgets the connection.
func (n *Net) OnClose(c gnet.Conn, _ error) gnet.Action {
	if l, ok := c.Context().(*link); ok {
		close(l.closed)
		n.forget(l)
	}
	return gnet.None
}

// OnTraffic reads the frames that have arrived whole.
func (n *Net) OnTraffic(c gnet.Conn) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok {
		return gnet.Close
	}
	l.hear()
	for {
		buf, err := c.Peek(c.InboundBuffered())
		if err != nil || len(buf) == 0 {
			return gnet.None
		}
		f, used, err := l.reader.Next(buf)
		if errors.Is(err, frame.ErrShort) {
			return gnet.None
		}
		if err != nil {
			l.refuse(err)
			return gnet.Close
		}
		n.meters.PeerBytesReceived.Add(used)
		if err := l.take(f); err != nil {
			l.refuse(err)
			return gnet.Close
		}
		if _, err := c.Discard(used); err != nil {
			return gnet.Close
		}
	}
}

// refuse notes a frame that ends the connection.
func (l *link) refuse(err error) {
	l.net.meters.FramesRefused.Inc()
	event := events.FrameRefused
	if !l.ready {
		event = events.PeerRefused
	}
	event.Log(l.net.log, logrus.Fields{"remote": l.conn.RemoteAddr().String(), "error": err})
}

// take handles one frame on the event loop.
func (l *link) take(f frame.Frame) error {
	if !l.ready {
		return l.greet(f)
	}
	payload := bytes.Clone(f.Payload)
	if Kind(f.Kind) == kindReply {
		if answer, ok := l.net.pending.LoadAndDelete(f.ID); ok {
			answer.(chan []byte) <- payload
		}
		return nil
	}
	select {
	case l.net.work <- inbound{from: l, kind: Kind(f.Kind), id: f.ID, payload: payload}:
	default:
		events.PeerQueueFull.Log(l.net.log, logrus.Fields{"peer": l.peer, "direction": "in"})
	}
	return nil
}

// errNoHello means that a connection does not start with a hello.
var errNoHello = errors.New("first frame is no hello")

// greet takes the peer's hello and derives the keys.
func (l *link) greet(f frame.Frame) error {
	var h hello
	if Kind(f.Kind) != kindHello {
		return errNoHello
	}
	if err := msgpack.Unmarshal(f.Payload, &h); err != nil || len(h.Nonce) != nonceSize {
		return errNoHello
	}
	send, receive := l.sessionKeys(h.Nonce)
	l.reader.Rekey(receive)
	l.peer, l.ready = h.Name, true
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writer = frame.NewWriter(send)
	for _, m := range l.early {
		_ = l.write(m)
	}
	l.early = nil
	return nil
}

// send queues one message.
func (l *link) send(kind Kind, id uint64, payload []byte) error {
	if l.queued.Load() > maxQueued {
		events.PeerQueueFull.Log(l.net.log, logrus.Fields{"peer": l.peer, "direction": "out"})
		return ErrQueueFull
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m := message{kind: kind, id: id, payload: payload}
	if l.writer != nil {
		return l.write(m)
	}
	if len(l.early) >= maxEarly {
		return ErrQueueFull
	}
	l.early = append(l.early, m)
	return nil
}

// write hands a frame to the event loop. The caller holds the lock.
func (l *link) write(m message) error {
	buf := l.writer.Append(nil, uint8(m.kind), m.id, m.payload)
	size := int64(len(buf))
	l.queued.Add(size)
	l.net.meters.PeerBytesSent.Add(len(buf))
	err := l.conn.AsyncWrite(buf, func(c gnet.Conn, _ error) error {
		l.queued.Add(-size)
		if c.OutboundBuffered() > maxQueued {
			return c.Close()
		}
		return nil
	})
	if err != nil {
		l.queued.Add(-size)
		return errors.Wrapf(ErrNoPeer, "write: %v", err)
	}
	return nil
}
