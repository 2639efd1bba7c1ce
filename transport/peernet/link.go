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

// link is a connection to a peer.
type link struct {
	net    *Net
	dialed bool   // this daemon dialed it
	addr   string // address that this daemon dialed, or ""
	conn   gnet.Conn
	opened chan struct{}
	closed chan struct{}
	nonce  [nonceSize]byte // of this side

	// Changed by the event loop only. Other goroutines read only peer, once it is set.
	reader    *frame.Reader
	peer      string // name from the peer's hello
	keysReady bool   // the peer's hello has arrived

	mu           sync.Mutex // keeps the frames sent in sequence
	writer       *frame.Writer
	unsent       []outbound   // messages that wait for the session keys
	queuedBytes  atomic.Int64 // frames handed to the event loop and not yet written
	lastReceived atomic.Int64 // when bytes last arrived, as returned by Net.elapsed
	timeouts     atomic.Int32 // requests that have timed out since then
}

// outbound is a message to be sent.
type outbound struct {
	kind    Kind
	id      uint64
	payload []byte
}

const nonceSize = 16

// hello is the first message that each side sends. It is encoded as a map with its field names as
// keys.
type hello struct {
	Name  string
	Nonce []byte
}

// maxUnsent is how many messages may wait for the session keys.
const maxUnsent = 64

func (n *Net) newLink(dialed bool) *link {
	l := &link{net: n, dialed: dialed, opened: make(chan struct{}), closed: make(chan struct{})}
	_, _ = rand.Read(l.nonce[:])
	l.reader = frame.NewReader(n.helloKey())
	return l
}

// protocol is the protocol of this package in the derivation of keys.
const protocol = ""

// helloKey returns the key of the hello frames.
func (n *Net) helloKey() frame.Key { return frame.HelloKey(n.secret, protocol) }

// sessionKeys returns the keys for the two directions, derived from the nonces of both sides.
func (l *link) sessionKeys(peerNonce []byte) (send, receive frame.Key) {
	dialerNonce, listenerNonce := l.nonce[:], peerNonce
	if !l.dialed {
		dialerNonce, listenerNonce = peerNonce, l.nonce[:]
	}
	dialerKey, listenerKey := frame.SessionKeys(l.net.secret, protocol, dialerNonce, listenerNonce)
	if l.dialed {
		return dialerKey, listenerKey
	}
	return listenerKey, dialerKey
}

// dialHandler handles the connections that this daemon dialed.
type dialHandler struct{ *Net }

// OnBoot does nothing.
func (dialHandler) OnBoot(gnet.Engine) gnet.Action { return gnet.None }

// acceptHandler handles the connections that peers dialed.
type acceptHandler struct{ *Net }

// OnBoot stores the gnet engine, which stopListening stops, and signals that peers can connect.
func (h acceptHandler) OnBoot(eng gnet.Engine) gnet.Action {
	h.engine = eng
	close(h.booted)
	return gnet.None
}

// OnShutdown does nothing.
func (n *Net) OnShutdown(gnet.Engine) {}

// OnTick does nothing.
func (n *Net) OnTick() (time.Duration, gnet.Action) { return 0, gnet.None }

// OnOpen sets up the link of a connection and returns the hello to send.
func (n *Net) OnOpen(c gnet.Conn) ([]byte, gnet.Action) {
	l, ok := c.Context().(*link)
	if !ok {
		l = n.newLink(false)
		c.SetContext(l)
	}
	l.conn = c
	l.markReceived()
	if !l.dialed {
		n.addAccepted(l)
	}
	close(l.opened)
	payload, err := msgpack.Marshal(hello{Name: n.name, Nonce: l.nonce[:]})
	if err != nil {
		return nil, gnet.Close
	}
	return frame.NewWriter(n.helloKey()).Append(nil, uint8(kindHello), 0, payload), gnet.None
}

// OnClose removes the link of a connection.
func (n *Net) OnClose(c gnet.Conn, _ error) gnet.Action {
	if l, ok := c.Context().(*link); ok {
		close(l.closed)
		n.removeLink(l)
	}
	return gnet.None
}

// OnTraffic handles the frames that have arrived completely.
func (n *Net) OnTraffic(c gnet.Conn) gnet.Action {
	l, ok := c.Context().(*link)
	if !ok {
		return gnet.Close
	}
	l.markReceived()
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
			l.reportBadFrame(err)
			return gnet.Close
		}
		n.meters.PeerBytesReceived.Add(used)
		if err := l.handleFrame(f); err != nil {
			l.reportBadFrame(err)
			return gnet.Close
		}
		if _, err := c.Discard(used); err != nil {
			return gnet.Close
		}
	}
}

// reportBadFrame counts and logs a frame that ends the connection.
func (l *link) reportBadFrame(err error) {
	l.net.meters.FramesRefused.Inc()
	event := events.FrameRefused
	if !l.keysReady {
		event = events.PeerRefused
	}
	event.Log(l.net.log, logrus.Fields{"remote": l.conn.RemoteAddr().String(), "error": err})
}

// handleFrame handles one frame on the event loop. It passes a reply to the waiting Request, and any
// other message to the workers.
func (l *link) handleFrame(f frame.Frame) error {
	if !l.keysReady {
		return l.handleHello(f)
	}
	payload := bytes.Clone(f.Payload)
	if Kind(f.Kind) == kindReply {
		if replies, ok := l.net.pending.LoadAndDelete(f.ID); ok {
			replies.(chan []byte) <- payload
		}
		return nil
	}
	select {
	case l.net.inbox <- inbound{from: l, kind: Kind(f.Kind), id: f.ID, payload: payload}:
	default:
		events.PeerQueueFull.Log(l.net.log, logrus.Fields{"peer": l.peer, "direction": "in"})
	}
	return nil
}

// errNoHello means that the first frame of a connection is not a valid hello.
var errNoHello = errors.New("first frame is not a hello")

// handleHello derives the session keys from the peer's hello and sends the messages that waited
// for them.
func (l *link) handleHello(f frame.Frame) error {
	var h hello
	if Kind(f.Kind) != kindHello {
		return errNoHello
	}
	if err := msgpack.Unmarshal(f.Payload, &h); err != nil || len(h.Nonce) != nonceSize {
		return errNoHello
	}
	send, receive := l.sessionKeys(h.Nonce)
	l.reader.Rekey(receive)
	l.peer, l.keysReady = h.Name, true
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writer = frame.NewWriter(send)
	for _, m := range l.unsent {
		_ = l.write(m)
	}
	l.unsent = nil
	return nil
}

// send sends a message, or keeps it until the session keys are known.
func (l *link) send(kind Kind, id uint64, payload []byte) error {
	if l.queuedBytes.Load() > maxQueued {
		events.PeerQueueFull.Log(l.net.log, logrus.Fields{"peer": l.peer, "direction": "out"})
		return ErrQueueFull
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m := outbound{kind: kind, id: id, payload: payload}
	if l.writer != nil {
		return l.write(m)
	}
	if len(l.unsent) >= maxUnsent {
		return ErrQueueFull
	}
	l.unsent = append(l.unsent, m)
	return nil
}

// write hands a message as a frame to the event loop. The caller holds mu.
func (l *link) write(m outbound) error {
	buf := l.writer.Append(nil, uint8(m.kind), m.id, m.payload)
	size := int64(len(buf))
	l.queuedBytes.Add(size)
	l.net.meters.PeerBytesSent.Add(len(buf))
	err := l.conn.AsyncWrite(buf, func(c gnet.Conn, _ error) error {
		l.queuedBytes.Add(-size)
		if c.OutboundBuffered() > maxQueued {
			return c.Close()
		}
		return nil
	})
	if err != nil {
		l.queuedBytes.Add(-size)
		return errors.Wrapf(ErrNoPeer, "write: %v", err)
	}
	return nil
}
