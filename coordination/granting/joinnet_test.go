package granting

import (
	"context"
	"fmt"

	"spanrill"
	"spanrill/protocol/peermsg"
	"spanrill/transport/peernet"
)

// carry lets a message take its way, and reports whether it arrives.
func (d *fleetDaemon) carry(from *fleetDaemon, kind peernet.Kind, isReply bool) bool {
	<-d.clock.After(1 + spanrill.Millis(d.random.IntN(2)))
	d.awaitThaw()
	d.mu.Lock()
	defer d.mu.Unlock()
	isLost := d.loss > 0 && d.random.Float64() < d.loss || d.drop != nil && d.drop(kind, isReply)
	return !isLost && !d.dead && !from.dead && d.island == from.island
}

func (d *fleetDaemon) Request(ctx context.Context, addr string, kind uint8, req, reply any) error {
	payload, to := d.encode(req), d.daemon(addr)
	answered := make(chan []byte, 1)
	go func() {
		if !to.carry(d, peernet.Kind(kind), false) {
			return
		}
		var m peermsg.RoomRequest
		d.decode(payload, &m)
		answer := d.encode(to.granter.HandleRequest(&m))
		if d.carry(to, peernet.Kind(kind), true) {
			answered <- answer
		}
	}()
	select {
	case <-ctx.Done():
		return fmt.Errorf("no answer: %w", ctx.Err())
	case answer := <-answered:
		d.decode(answer, reply)
		return nil
	}
}

func (d *fleetDaemon) Send(addr string, kind uint8, message any) error {
	payload, to := d.encode(message), d.daemon(addr)
	go func() {
		if to.carry(d, peernet.Kind(kind), false) {
			to.receive(peernet.Kind(kind), payload)
		}
	}()
	return nil
}

func (d *fleetDaemon) receive(kind peernet.Kind, payload []byte) {
	if kind == peermsg.KindRoomNotice {
		var m peermsg.RoomNotice
		d.decode(payload, &m)
		d.client.HandleNotice(&m)
		return
	}
	var m peermsg.RoomReport
	d.decode(payload, &m)
	d.granter.HandleReport(&m)
}

func (n *fleetNet) encode(message any) []byte {
	payload, err := peermsg.Encode(message)
	if err != nil {
		n.Error(err)
	}
	return payload
}

func (n *fleetNet) decode(payload []byte, message any) {
	if err := peermsg.Decode(payload, message); err != nil {
		n.Error(err)
	}
}
