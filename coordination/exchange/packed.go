package exchange

import (
	"bytes"
	"fmt"
	"io"
	"sync"

	"github.com/klauspost/compress/flate"
	"github.com/sirupsen/logrus"

	"spanrill/events"
	"spanrill/protocol/peermsg"
)

// packed is something large as peers fetch it: encoded and compressed once for each of its
// versions, and for each earlier revision behind which changes are asked for, however many
// ask.
type packed struct {
	mu      sync.Mutex
	version uint64
	values  map[uint64]packedValue // by the revision behind which changes are asked for
}

// packedValue is a value, and behind which revision it is the changes, or 0 for all.
type packedValue struct {
	value []byte
	after uint64
}

// packedKept bounds the values of one version: peers that lag differ by a round or two.
const packedKept = 16

// at returns the value of a version, which build makes if it was not asked for before.
func (p *packed) at(version, asked uint64, build func() (plain []byte, after uint64, err error)) (packedValue, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version != p.version || len(p.values) >= packedKept {
		p.version, p.values = version, map[uint64]packedValue{}
	}
	if v, ok := p.values[asked]; ok {
		return v, nil
	}
	plain, after, err := build()
	if err != nil {
		return packedValue{}, err
	}
	value, err := pack(plain)
	if err != nil {
		return packedValue{}, err
	}
	v := packedValue{value: value, after: after}
	p.values[asked] = v
	return v, nil
}

// maxUnpacked bounds what a peer sends: what the platform's store holds in one value,
// twice, and three times the entries of 3,600 engines.
const maxUnpacked = 2 << 20

// RouteConfig answers a question for the configuration. One of 250 routes takes 52 KB,
// which is 21 ms on the slowest links, and a tenth of that when it is compressed.
func (e *Exchange) RouteConfig() *peermsg.RouteConfig {
	revision := e.state.Config.Revision()
	v, err := e.config.at(revision, 0, func() ([]byte, uint64, error) { return e.state.Config.Raw(), 0, nil })
	if err != nil {
		events.ConfigRejected.Log(e.log, logrus.Fields{"revision": revision, "error": err})
		return &peermsg.RouteConfig{}
	}
	return &peermsg.RouteConfig{Revision: revision, Value: v.value}
}

// Entries answers a question for the entries of upstreams with those that have changed, or
// with all if the peer knows none, or fell behind. All of 1,001 take 158 KB and 1 ms of a
// core for each that asks when they are encoded for it, and 22 KB once packed
// (BenchmarkEntries). A seed of a fleet that starts is asked by all within half a second.
func (e *Exchange) Entries(asked *peermsg.AskEntries) *peermsg.Entries {
	at, change, age := e.state.Fleet.Proof()
	v, err := e.entries.at(change, asked.After, func() ([]byte, uint64, error) {
		k := e.state.Fleet.KnowledgeAfter(asked.After)
		plain, err := peermsg.Encode(&peermsg.EntryList{Entries: k.Entries, Unreadable: k.Unreadable, Gone: k.Gone})
		return plain, k.After, err
	})
	if err != nil {
		events.FrameRefused.Log(e.log, logrus.Fields{"kind": peermsg.KindEntries, "error": err})
		return &peermsg.Entries{}
	}
	return &peermsg.Entries{Packed: v.value, At: at, Change: change, Age: age, After: v.after}
}

func pack(value []byte) ([]byte, error) {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if _, err := w.Write(value); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress: %w", err)
	}
	return b.Bytes(), nil
}

func unpack(value []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(value))
	defer func() { _ = r.Close() }() // reads from memory
	data, err := io.ReadAll(io.LimitReader(r, maxUnpacked))
	if err != nil {
		return nil, fmt.Errorf("decompress: %w", err)
	}
	return data, nil
}
