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
// versions, however many ask.
type packed struct {
	mu      sync.Mutex
	version uint64
	value   []byte
}

// at returns the value of a version, which build makes if it is not the last one.
func (p *packed) at(version uint64, build func() ([]byte, error)) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version == p.version && p.value != nil {
		return p.value, nil
	}
	plain, err := build()
	if err != nil {
		return nil, err
	}
	value, err := pack(plain)
	if err != nil {
		return nil, err
	}
	p.version, p.value = version, value
	return value, nil
}

// maxUnpacked bounds what a peer sends: what the platform's store holds in one value,
// twice, and three times the entries of 3,600 engines.
const maxUnpacked = 2 << 20

// RouteConfig answers a question for the configuration. One of 250 routes takes 52 KB,
// which is 21 ms on the slowest links, and a tenth of that when it is compressed.
func (e *Exchange) RouteConfig() *peermsg.RouteConfig {
	revision := e.state.Config.Revision()
	value, err := e.config.at(revision, func() ([]byte, error) { return e.state.Config.Raw(), nil })
	if err != nil {
		events.ConfigRejected.Log(e.log, logrus.Fields{"revision": revision, "error": err})
		return &peermsg.RouteConfig{}
	}
	return &peermsg.RouteConfig{Revision: revision, Value: value}
}

// Entries answers a question for the entries of upstreams: those of 1,001 take 158 KB and 1
// ms of a core for each that asks when they are encoded for it, and 22 KB once packed
// (BenchmarkEntries). A seed of a fleet that starts is asked by all within half a second.
func (e *Exchange) Entries() *peermsg.Entries {
	at, change, age := e.state.Fleet.Proof()
	value, err := e.entries.at(e.state.Fleet.View().Version(), func() ([]byte, error) {
		k := e.state.Fleet.Knowledge()
		return peermsg.Encode(&peermsg.EntryList{Entries: k.Entries, Unreadable: k.Unreadable})
	})
	if err != nil {
		events.FrameRefused.Log(e.log, logrus.Fields{"kind": peermsg.KindEntries, "error": err})
		return &peermsg.Entries{}
	}
	return &peermsg.Entries{Packed: value, At: at, Change: change, Age: age}
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
