package tunnel

import (
	"bytes"
	"context"
	"io"
	"net"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/clock"
	"spanrill/task"
	"spanrill/transport/frame"
)

// testUpstreams connects to the address of each target, or fails.
type testUpstreams struct {
	err     error
	mu      sync.Mutex
	notices []spanrill.Notice
	noticed chan struct{}
}

func (u *testUpstreams) Connect(ctx context.Context, target Target) (net.Conn, error) {
	if u.err != nil {
		return nil, u.err
	}
	return (&net.Dialer{}).DialContext(ctx, "tcp", target.Addr)
}

func (u *testUpstreams) Helpers(Target) []Helper { return nil }

func (u *testUpstreams) Tell(_ context.Context, q Question) Told {
	return Told{Reaches: true, Helpers: q.Helpers}
}

func (u *testUpstreams) HandleNotice(_ string, n spanrill.Notice, _ spanrill.Millis) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.notices = append(u.notices, n)
	close(u.noticed)
}

const testSecret = "a secret for the tests"

// startServer starts a helper and returns its server and address.
func startServer(t testing.TB, upstreams *testUpstreams, opts ...ServerOption) (*Server, string) {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := NewServer([]byte(testSecret), upstreams, clock.NewSystem(), append(opts, WithLogger(log))...)
	ln := listen(t)
	ctx, cancel := context.WithCancel(context.Background())
	serving := task.Start(ctx, "helper", func(ctx context.Context) error { return s.Serve(ctx, ln) })
	t.Cleanup(func() {
		cancel()
		<-serving.Done()
		<-s.Done()
	})
	return s, ln.Addr().String()
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln
}

// startUpstream serves each connection with a function and returns the address.
func startUpstream(t testing.TB, serve func(net.Conn)) string {
	t.Helper()
	ln := listen(t)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return ln.Addr().String()
}

func echo(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	_, _ = io.Copy(conn, conn)
}

func dial(t testing.TB, helper, upstream string) *Conn {
	t.Helper()
	conn, err := Dial(context.Background(), helper, []byte(testSecret), Target{Addr: upstream})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Guards against bytes that a tunnel loses, repeats or reorders, also of large bodies.
func TestBytesOfBothDirectionsArrive(t *testing.T) {
	_, helper := startServer(t, &testUpstreams{})
	conn := dial(t, helper, startUpstream(t, echo))
	sent := bytes.Repeat([]byte("0123456789abcdef-"), 1<<17)
	go func() { _, _ = conn.Write(sent) }()
	got := make([]byte, len(sent))
	if _, err := io.ReadFull(conn, got); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, sent) {
		t.Fatal("the bytes that came back are not those that were sent")
	}
}

// Guards against an answer that ends with its connection and looks complete although the helper or the
// upstream's connection failed.
func TestOnlyTheUpstreamEndsAnAnswer(t *testing.T) {
	answerThen := func(end func(*net.TCPConn)) func(net.Conn) {
		return func(conn net.Conn) {
			_, _ = conn.Write([]byte("part"))
			end(conn.(*net.TCPConn))
		}
	}
	reset := func(conn *net.TCPConn) {
		_, _ = io.ReadFull(conn, make([]byte, 1)) // until the caller has the part
		_ = conn.SetLinger(0)
		_ = conn.Close()
	}
	ended := func(conn *net.TCPConn) { _ = conn.Close() }
	for name, c := range map[string]struct {
		end      func(*net.TCPConn)
		complete bool
	}{"closed": {ended, true}, "reset": {reset, false}} {
		t.Run(name, func(t *testing.T) {
			_, helper := startServer(t, &testUpstreams{})
			conn := dial(t, helper, startUpstream(t, answerThen(c.end)))
			part := make([]byte, 4)
			if _, err := io.ReadFull(conn, part); err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write([]byte("x"))
			if _, err := conn.Read(part); errors.Is(err, io.EOF) != c.complete || err == nil {
				t.Errorf("end of the answer: %v, complete want %v", err, c.complete)
			}
		})
	}
	t.Run("helper killed", func(t *testing.T) {
		helper := startUpstream(t, func(conn net.Conn) {
			s, err := handshake(conn, []byte(testSecret), false)
			if err == nil {
				_, _ = s.readFrame()
				_ = s.writeMessage(kindOpened, &Answer{})
				_ = s.writeFrame(kindData, []byte("part"))
			}
			_ = conn.Close()
		})
		conn := dial(t, helper, "127.0.0.1:1")
		if got, err := io.ReadAll(conn); err == nil || string(got) != "part" {
			t.Errorf("read %q and error %v, want the part and an error", got, err)
		}
	})
}

// Guards against questions that open a tunnel, and answers that lose what is known about helpers.
func TestHelpersAreTold(t *testing.T) {
	s, helper := startServer(t, &testUpstreams{err: syscall.ECONNREFUSED}, WithMaxOpen(3))
	known := []Helper{{Name: "a", Addr: "10.0.0.2:7341", Zone: "z", Age: 40, Open: 2, Room: 5}}
	for _, leave := range []bool{false, true} {
		room := 3
		if leave {
			s.Leave()
			room = 0
		}
		told, err := Ask(context.Background(), helper, []byte(testSecret), Question{Service: "s", Daemon: "b", Zone: "z", Helpers: known})
		if err != nil {
			t.Fatal(err)
		}
		if !told.Reaches || told.Room != room || told.Open != 0 || !slices.Equal(told.Helpers, known) {
			t.Errorf("the helper told %+v, want room for %d tunnels and %+v", told, room, known)
		}
	}
	if _, err := Ask(context.Background(), helper, []byte("another secret"), Question{Service: "s"}); err == nil {
		t.Error("a stranger got an answer")
	}
}

// Guards against a helper that keeps the upstream's connection after the daemon has closed the tunnel.
func TestClosingTheTunnelClosesTheUpstreamConnection(t *testing.T) {
	s, helper := startServer(t, &testUpstreams{})
	closed := make(chan struct{})
	upstream := startUpstream(t, func(conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	conn := dial(t, helper, upstream)
	if s.Open() != 1 {
		t.Errorf("%d open tunnels, want 1", s.Open())
	}
	_ = conn.Close()
	<-closed
}

// Guards against tunnels that a helper opens although it is full or leaving or does not reach the
// upstream, and against reasons that get lost.
func TestHelperRefusesTunnels(t *testing.T) {
	refused := &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	for name, c := range map[string]struct {
		err    error
		opts   []ServerOption
		leave  bool
		reason Reason
		is     error
	}{
		"upstream refuses":           {err: refused, reason: ReasonRefused, is: syscall.ECONNREFUSED},
		"upstream does not answer":   {err: context.DeadlineExceeded, reason: ReasonUnreachable},
		"helper has no path":         {err: errors.Wrap(spanrill.ErrNoPath, "helper"), reason: ReasonNoPath},
		"upstream wants no requests": {err: &OpenError{Reason: ReasonWithheld}, reason: ReasonWithheld, is: spanrill.ErrWithheld},
		"helper is full":             {opts: []ServerOption{WithMaxOpen(0)}, reason: ReasonFull},
		"helper is leaving":          {leave: true, reason: ReasonLeaving},
	} {
		t.Run(name, func(t *testing.T) {
			s, helper := startServer(t, &testUpstreams{err: c.err}, c.opts...)
			if c.leave {
				s.Leave()
			}
			_, err := Dial(context.Background(), helper, []byte(testSecret), Target{Addr: "127.0.0.1:1"})
			var failure *OpenError
			if !errors.As(err, &failure) || failure.Reason != c.reason || c.is != nil && !errors.Is(err, c.is) {
				t.Fatalf("error %v, want reason %s and cause %v", err, c.reason, c.is)
			}
			if s.Open() != 0 {
				t.Errorf("%d open tunnels, want 0", s.Open())
			}
		})
	}
}

// Guards against a helper that does anything for a process that does not know the fleet secret, and
// against a daemon that believes such a process to be a helper.
func TestStrangersAreRefused(t *testing.T) {
	t.Run("a stranger asks", func(t *testing.T) {
		_, helper := startServer(t, &testUpstreams{})
		if _, err := Dial(context.Background(), helper, []byte("another secret"), Target{Addr: startUpstream(t, echo)}); err == nil {
			t.Error("a tunnel was opened with another secret, want an error")
		}
	})
	t.Run("a stranger repeats a recorded hello", func(t *testing.T) {
		_, helper := startServer(t, &testUpstreams{})
		conn, err := net.Dial("tcp", helper)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		hello := frame.NewWriter(frame.HelloKey([]byte(testSecret), protocol)).Append(nil, kindHello, 0, make([]byte, nonceSize))
		open := frame.NewWriter(frame.HelloKey([]byte(testSecret), protocol)).Append(nil, kindOpen, 0, nil)
		_, _ = conn.Write(append(hello, open...))
		reply, _ := io.ReadAll(conn)
		if want := frame.HeaderSize + nonceSize + frame.TagSize; len(reply) != want {
			t.Errorf("%d bytes came back, want the %d of a hello and no reply", len(reply), want)
		}
	})
	t.Run("a stranger helps", func(t *testing.T) {
		helper := startUpstream(t, echo) // it sends back the daemon's own frames
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if _, err := Dial(ctx, helper, []byte(testSecret), Target{}); err == nil {
			t.Error("a tunnel was opened by a stranger, want an error")
		}
	})
}

// Guards against a helper that does not learn what an upstream has told a daemon through it.
func TestNoticeReachesTheHelper(t *testing.T) {
	upstreams := &testUpstreams{noticed: make(chan struct{})}
	_, helper := startServer(t, upstreams)
	conn := dial(t, helper, startUpstream(t, echo))
	want := spanrill.Notice{Leaving: true, Rest: 1500, UnreadableRest: "soon"}
	if err := conn.SendNotice(want); err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
	<-upstreams.noticed
	if got := upstreams.notices[0]; got != want {
		t.Errorf("notice %+v, want %+v", got, want)
	}
}

// Guards against a daemon that waits for a helper longer than its caller does.
func TestDialEndsWithItsContext(t *testing.T) {
	helper := startUpstream(t, func(conn net.Conn) { _, _ = io.Copy(io.Discard, conn) })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	if _, err := Dial(ctx, helper, []byte(testSecret), Target{}); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v, want context.Canceled", err)
	}
}

// reportProcessorTime reports the processor time of the whole process, both sides and the upstream
// included, for each operation.
func reportProcessorTime(b *testing.B, before syscall.Rusage) {
	var after syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &after); err != nil {
		b.Fatal(err)
	}
	spent := time.Duration(after.Utime.Nano() + after.Stime.Nano() - before.Utime.Nano() - before.Stime.Nano())
	b.ReportMetric(float64(spent.Microseconds())/float64(b.N), "cpu-us/op")
}

// BenchmarkAsk measures a question about helpers at both daemons together.
func BenchmarkAsk(b *testing.B) {
	_, helper := startServer(b, &testUpstreams{})
	known := []Helper{{Name: "front-hann-11/93ad591d", Addr: "10.1.0.29:8384", Zone: "hann", Age: 400, Open: 12, Room: 244}}
	known = append(known, known[0], known[0], known[0])
	var before syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for b.Loop() {
		if _, err := Ask(context.Background(), helper, []byte(testSecret), Question{Service: "advice", Helpers: known}); err != nil {
			b.Fatal(err)
		}
	}
	reportProcessorTime(b, before)
}

func BenchmarkOpen(b *testing.B) {
	_, helper := startServer(b, &testUpstreams{})
	upstream := startUpstream(b, echo)
	var before syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for b.Loop() {
		conn, err := Dial(context.Background(), helper, []byte(testSecret), Target{Addr: upstream})
		if err != nil {
			b.Fatal(err)
		}
		_ = conn.Close()
	}
	reportProcessorTime(b, before)
}

// BenchmarkForward forwards messages of the size of a stream's event there and back.
func BenchmarkForward(b *testing.B) {
	const eventSize = 256
	_, helper := startServer(b, &testUpstreams{})
	conn := dial(b, helper, startUpstream(b, echo))
	event := make([]byte, eventSize)
	var before syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &before)
	for b.Loop() {
		if _, err := conn.Write(event); err != nil {
			b.Fatal(err)
		}
		if _, err := io.ReadFull(conn, event); err != nil {
			b.Fatal(err)
		}
	}
	reportProcessorTime(b, before)
}
