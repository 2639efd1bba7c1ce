package faultproxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"syscall"
)

// Cut is a way in which a Link loses the path to its targets.
type Cut uint8

// The ways in which a path is lost.
const (
	// CutNone means that the path works.
	CutNone Cut = iota
	// CutSilent means that open connections and new ones hang.
	CutSilent
	// CutReset means that open connections are closed and new ones are refused.
	CutReset
	// CutNewOnly means that open connections work and new ones are refused.
	CutNewOnly
	// CutRequests means that bytes toward the targets are lost. New connections hang.
	CutRequests
	// CutAnswers means that bytes from the targets are lost. New connections hang.
	CutAnswers
)

// Link is the network path of one process to any number of targets, each reached through a proxy of
// its own. The path can be cut for all targets, or for some.
type Link struct {
	mu      sync.Mutex
	proxies map[string]*Proxy // by address of the target
	cuts    map[string]Cut    // by address of the target
	cut     Cut               // of all other targets
	dials   map[string]int    // connections that were asked for, by address of the target
	changed chan struct{}     // closed when a cut changes; then replaced
}

// NewLink returns a link that works.
func NewLink() *Link {
	return &Link{proxies: map[string]*Proxy{}, cuts: map[string]Cut{}, dials: map[string]int{}, changed: make(chan struct{})}
}

// SetCut cuts or restores the path to all targets.
func (l *Link) SetCut(c Cut) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = c
	clear(l.cuts)
	l.apply()
}

// SetCutTo cuts or restores the path to some targets.
func (l *Link) SetCutTo(c Cut, targets ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, target := range targets {
		l.cuts[target] = c
	}
	l.apply()
}

// Dials returns how many connections to a target were asked for so far.
func (l *Link) Dials(target string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dials[target]
}

// DialContext opens a connection to a target unless the path to it is cut.
func (l *Link) DialContext(ctx context.Context, network, target string) (net.Conn, error) {
	proxy, err := l.resolve(ctx, network, target)
	if err != nil {
		return nil, err
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, proxy)
	if err != nil {
		return nil, fmt.Errorf("connect to the proxy: %w", err)
	}
	return conn, nil
}

// resolve returns the address of the proxy to a target, once and if the path to it is not cut.
func (l *Link) resolve(ctx context.Context, network, target string) (string, error) {
	l.mu.Lock()
	l.dials[target]++
	l.mu.Unlock()
	for {
		c, changed := l.cutOf(target)
		switch c {
		case CutNone:
			return l.proxyAddr(ctx, network, target)
		case CutReset, CutNewOnly:
			return "", fmt.Errorf("link is cut: %w", syscall.ECONNREFUSED)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return "", fmt.Errorf("link is cut: %w", ctx.Err())
		}
	}
}

// Close closes all proxies.
func (l *Link) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.proxies {
		p.Close()
	}
}

// cutOf returns the cut to a target and a channel that is closed when a cut changes.
func (l *Link) cutOf(target string) (Cut, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.cuts[target]; ok {
		return c, l.changed
	}
	return l.cut, l.changed
}

// proxyAddr returns the address of the proxy to a target. It fails if the target refuses connections,
// which a proxy does not.
func (l *Link) proxyAddr(ctx context.Context, network, target string) (string, error) {
	test, err := (&net.Dialer{}).DialContext(ctx, network, target)
	if err != nil {
		return "", fmt.Errorf("connect to the target: %w", err)
	}
	_ = test.Close()
	p, err := l.proxyTo(target)
	if err != nil {
		return "", err
	}
	return p.Addr(), nil
}

func (l *Link) proxyTo(target string) (*Proxy, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if p := l.proxies[target]; p != nil {
		return p, nil
	}
	p := New(target)
	if _, err := p.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	l.proxies[target] = p
	return p, nil
}

// apply sets the faults of all proxies. The caller holds the lock.
func (l *Link) apply() {
	for target, p := range l.proxies {
		c, ok := l.cuts[target]
		if !ok {
			c = l.cut
		}
		p.SetFaults(c.faults())
		if c == CutReset {
			p.CloseConnections()
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// faults returns the faults of the open connections.
func (c Cut) faults() Faults {
	switch c {
	case CutSilent:
		return Faults{Freeze: true}
	case CutRequests:
		return Faults{FreezeRequests: true}
	case CutAnswers:
		return Faults{FreezeAnswers: true}
	}
	return Faults{}
}
