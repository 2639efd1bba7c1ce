package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"spanrill/standin/faultproxy"
)

// process is one daemon process, which can be killed and restarted under its name.
type process struct {
	name         string
	listenAddr   string
	readyAddr    string
	command      []string // without the --settings flag
	settingsFile string
	linkAddr     string // control address of its link to the upstreams
	logs         *os.File

	mu       sync.Mutex
	cmd      *exec.Cmd
	exited   chan struct{}
	stopping bool // whether SIGTERM or SIGKILL was sent
	failures []string
}

// newProcess writes the settings of a daemon and creates its log, but does not start it.
func newProcess(dir string, command []string, name, listen, ready string, settings map[string]any) (*process, error) {
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, fmt.Errorf("encode settings: %w", err)
	}
	p := &process{name: name, listenAddr: listen, readyAddr: ready, command: command, settingsFile: filepath.Join(dir, name+".json")}
	if err := os.WriteFile(p.settingsFile, data, 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	if p.logs, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, fmt.Errorf("create log: %w", err)
	}
	return p, nil
}

// start starts the process. The kernel kills it when this process ends in any way.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	args := append(append([]string(nil), p.command[1:]...), "--settings", p.settingsFile)
	cmd := exec.Command(p.command[0], args...)
	cmd.Env = append(os.Environ(), faultproxy.RemoteLinkVariable+"="+p.linkAddr)
	cmd.Stdout, cmd.Stderr = p.logs, p.logs
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", p.name, err)
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.stopping = cmd, exited, false
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == cmd && !p.stopping {
			p.failures = append(p.failures, fmt.Sprintf("%s exited unexpectedly: %v", p.name, err))
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it was started.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.stopping = true
	}
	_ = p.cmd.Process.Signal(s) // an error means that the process has ended
}

// awaitExit waits until the process has exited. After the limit it records a failure and kills it.
func (p *process) awaitExit(ctx context.Context, limit time.Duration) {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-exited:
		return
	case <-timer.C:
		p.recordFailure("%s did not exit within %v", p.name, limit)
	case <-ctx.Done():
	}
	p.signal(syscall.SIGKILL)
	<-exited
}

func (p *process) recordFailure(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failures = append(p.failures, fmt.Sprintf(format, args...))
}

// kill kills the process, waits for its exit and closes its log.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited != nil {
		<-exited
	}
	_ = p.logs.Close()
}

// isReady reports whether the process answers the readiness request of the platform's balancer with
// 200.
func (p *process) isReady(client *http.Client, readyPath string) bool {
	resp, err := client.Get("http://" + p.readyAddr + readyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// BuildDaemon builds the daemon, with connections to upstreams that a run can cut, from the module in
// the current directory and returns the path of the program.
func BuildDaemon(ctx context.Context, dir string) (string, error) {
	file := filepath.Join(dir, "soakdaemon")
	out, err := exec.CommandContext(ctx, "go", "build", "-o", file, "spanrill/soak/soakdaemon").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build the daemon: %w: %s", err, out)
	}
	return file, nil
}
