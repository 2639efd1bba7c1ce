package gateway

import (
	"context"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"spanrill/protocol/peermsg"
	"spanrill/transport/peernet"
)

// A daemon that cannot be reached delays neither the one who decides nor the notices for others.
// Those for one daemon stay in order.
func TestUnreachableDaemonDelaysNoNotices(t *testing.T) {
	unreachable, sent := make(chan struct{}), make(chan uint64, 3)
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := newRoomNotices(func(addr string, kind peernet.Kind, payload []byte) error {
		if addr == "cut:1" {
			<-unreachable
			return errors.New("unreachable")
		}
		var n peermsg.RoomNotice
		if err := peermsg.Decode(payload, &n); err != nil || kind != peermsg.KindRoomNotice {
			return err
		}
		sent <- n.ID
		return nil
	}, log)
	p := roomPeers{notices: s}
	for id := range uint64(maxQueuedNotices) {
		if err := p.Send("cut:1", uint8(peermsg.KindRoomNotice), &peermsg.RoomNotice{ID: id}); err != nil {
			t.Fatal(err)
		}
	}
	if p.Send("cut:1", uint8(peermsg.KindRoomNotice), &peermsg.RoomNotice{}) == nil {
		t.Error("notices for an unreachable daemon are not limited")
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- s.run(ctx) }()
	for id := range uint64(3) {
		if err := p.Send("b:1", uint8(peermsg.KindRoomNotice), &peermsg.RoomNotice{ID: id}); err != nil {
			t.Fatal(err)
		}
	}
	for want := range uint64(3) {
		select {
		case got := <-sent:
			if got != want {
				t.Errorf("notice %d arrived, want %d", got, want)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("no notice arrived while another daemon is unreachable")
		}
	}
	close(unreachable)
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// A request for room ends with its time, although a connection is still being opened.
func TestRequestEndsWithItsTime(t *testing.T) {
	opened := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := withinTime(ctx, func() error { <-opened; return nil }); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want the end of the context", err)
	}
	close(opened)
	if err := withinTime(t.Context(), func() error { return nil }); err != nil {
		t.Error(err)
	}
}

// Reports to a daemon that cannot be reached do not delay those to others, and do not pile up.
func TestUnreachableDaemonDelaysNoReports(t *testing.T) {
	unreachable, failed := make(chan struct{}), errors.New("queue is full")
	results := map[string]error{"b:1": nil, "full:1": failed}
	s := newRoomReports(func(addr string, _ peernet.Kind, _ []byte) error {
		if addr == "cut:1" {
			<-unreachable
		}
		return results[addr]
	})
	send := func(addr string) error {
		return roomPeers{reports: s}.Send(addr, uint8(peermsg.KindRoomReport), &peermsg.RoomReport{})
	}
	if err := send("cut:1"); err != nil {
		t.Fatal(err)
	}
	s.wait = 10 * time.Second // the rest does not wait
	for _, c := range []struct {
		addr string
		want error
	}{{"cut:1", errReportPending}, {"b:1", nil}, {"b:1", nil}, {"full:1", failed}, {"full:1", failed}, {"cut:1", errReportPending}} {
		if err := send(c.addr); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.addr, err, c.want)
		}
	}
	close(unreachable)
	for send("cut:1") != nil { // until the first report has ended
		runtime.Gosched()
	}
}
