package daemon

import (
	"encoding/json"

	"github.com/sirupsen/logrus"

	"spanrill/events"
	"spanrill/protocol/peermsg"
	"spanrill/state/load"
	"spanrill/transport/peernet"
)

// handle processes a message of a peer and returns the reply, or nil. A message that cannot be
// decoded is dropped and counted, without effect on its sender.
func (p *peers) handle(from string, kind peernet.Kind, payload []byte) []byte {
	reply, err := p.dispatch(from, kind, payload)
	if err != nil {
		p.daemon.meters.FramesRefused.Inc()
		events.FrameRefused.Log(p.daemon.log, logrus.Fields{"peer": from, "kind": kind, "error": err})
		return nil
	}
	if reply == nil {
		return nil
	}
	encoded, err := peermsg.Encode(reply)
	if err != nil {
		return nil
	}
	return encoded
}

func (p *peers) dispatch(from string, kind peernet.Kind, payload []byte) (reply any, err error) {
	switch kind {
	case peermsg.KindGossip:
		var m peermsg.Gossip
		if err = peermsg.Decode(payload, &m); err == nil && len(m.Members) > 0 {
			p.list.Merge(&m)
		}
	case peermsg.KindReports:
		var m peermsg.Reports
		if err = peermsg.Decode(payload, &m); err == nil {
			p.applyReports(&m)
		}
	case peermsg.KindDemand:
		var m peermsg.Demand
		if err = peermsg.Decode(payload, &m); err == nil {
			p.applyDemand(from, &m)
		}
	case peermsg.KindClaimOutcome:
		var m peermsg.ClaimOutcome
		if err = peermsg.Decode(payload, &m); err == nil {
			p.claims.HandleOutcome(&m)
		}
	default:
		return p.replyTo(kind, payload)
	}
	return nil, err
}

// replyTo returns the reply to a request of a peer.
func (p *peers) replyTo(kind peernet.Kind, payload []byte) (any, error) {
	switch kind {
	case peermsg.KindHead:
		return p.headReply(), nil
	case peermsg.KindPart:
		var m peermsg.Part
		if err := peermsg.Decode(payload, &m); err != nil {
			return nil, err
		}
		value, err := p.daemon.follower.Part(p.daemon.work, m.Hash)
		if err != nil {
			value = nil
		}
		return &peermsg.Part{Hash: m.Hash, Value: value}, nil
	case peermsg.KindClaim:
		var m peermsg.Claim
		if err := peermsg.Decode(payload, &m); err != nil {
			return nil, err
		}
		return p.claims.HandleClaim(p.daemon.work, &m), nil
	case peermsg.KindBoxes:
		reply := &peermsg.Boxes{}
		if value := p.boxes.Load(); value != nil {
			reply.Value = *value
		}
		return reply, nil
	}
	return nil, errUnknownKind
}

// headReply returns the head of this daemon's configuration, without a value if it has none.
func (p *peers) headReply() *peermsg.Head {
	reply := &peermsg.Head{}
	if head := p.daemon.follower.Head(); head != nil {
		if value, err := json.Marshal(head); err == nil {
			reply.Value = value
		}
	}
	return reply
}

// applyReports records the reports of upstreams that a peer forwarded.
func (p *peers) applyReports(m *peermsg.Reports) {
	reports := make([]load.Report, len(m.Reports))
	for i, r := range m.Reports {
		reports[i] = load.Report{Name: r.Name, Status: r.Status(), Age: r.Age}
	}
	p.daemon.table.RecordReports(reports)
}

// applyDemand records the demand of each client account at a peer.
func (p *peers) applyDemand(from string, m *peermsg.Demand) {
	accounts := make(map[string]float64, len(m.Accounts))
	for _, a := range m.Accounts {
		accounts[a.Account] = float64(a.MilliPerSecond) / 1000
	}
	p.daemon.gate.RecordPeerDemand(from, accounts)
}
