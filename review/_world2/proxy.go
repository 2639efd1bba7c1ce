package main

import (
	"io"
	"net"
	"sync"
)

// proxy stands between clients and a daemon and can reset open channels.
type proxy struct {
	addr   string
	target string
	mu     sync.Mutex
	open   map[*net.TCPConn]*net.TCPConn // client's to daemon's side
}

func startProxy(target string) (*proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: ln.Addr().String(), target: target, open: map[*net.TCPConn]*net.TCPConn{}}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.forward(c.(*net.TCPConn))
		}
	}()
	return p, nil
}

func (p *proxy) forward(client *net.TCPConn) {
	conn, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	daemon := conn.(*net.TCPConn)
	p.mu.Lock()
	p.open[client] = daemon
	p.mu.Unlock()
	var sides sync.WaitGroup
	for _, pair := range [][2]*net.TCPConn{{client, daemon}, {daemon, client}} {
		sides.Add(1)
		go func() {
			defer sides.Done()
			_, _ = io.Copy(pair[1], pair[0])
			_ = pair[1].CloseWrite()
		}()
	}
	sides.Wait()
	p.mu.Lock()
	delete(p.open, client)
	p.mu.Unlock()
	_ = client.Close()
	_ = daemon.Close()
}

// reset resets a share of the open channels and returns how many.
func (p *proxy) reset(share float64) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := int(share * float64(len(p.open)))
	left := n
	for client, daemon := range p.open {
		if left == 0 {
			break
		}
		left--
		for _, c := range []*net.TCPConn{client, daemon} {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}
	return n
}
