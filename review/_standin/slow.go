package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// answerBytes is the size of the answer: that of the largest body which the manifest allows in
	// the other direction.
	answerBytes = 4000000
	// readRate is how many bytes a second the client reads, about 5 Mbit/s.
	readRate = 600000
	// segment is the segment size that the client offers, that of an Ethernet link.
	segment = 1460
	// window is the client's receive buffer.
	window = 32 << 10
	// stopAfter is when the daemon gets SIGTERM, counted from the request.
	stopAfter = 500 * time.Millisecond
	graceTime = 8 * time.Second
)

// slowResult is how the client saw the answer.
type slowResult struct {
	ID       string `json:"id"`
	Status   int    `json:"status"`
	Expected int64  `json:"expected_bytes"`
	Received int64  `json:"received_bytes"`
	TookMS   int64  `json:"took_ms"`
	Error    string `json:"error"`
}

// runSlow runs the case of a client that reads its answer slowly while the daemon is stopped as
// planned. The daemon is given as FRONT=READY and its process id; runs is where the runs are told.
func runSlow(recordPath string, args []string) (exitCode int, err error) {
	rec, err := newRecord(recordPath)
	if err != nil {
		return exitCannotRun, err
	}
	front, ready, _ := strings.Cut(args[0], "=")
	pid, err := strconv.Atoi(args[1])
	if err != nil {
		return exitCannotRun, err
	}
	if err := awaitReady(ready); err != nil {
		return exitCannotRun, err
	}
	rec.add("case begins", map[string]bool{"trouble": withTrouble()})
	if withTrouble() {
		time.AfterFunc(stopAfter, func() {
			rec.add("daemon gets SIGTERM", pid)
			_ = syscall.Kill(pid, syscall.SIGTERM)
		})
	}
	r := readSlowly(rec, front)
	rec.add("answered", r)
	runs := 0
	for _, entry := range rec.addRuns("http://" + args[2]) {
		if entry.ID == r.ID {
			runs++
		}
	}
	switch {
	case runs != 1 || r.Status != http.StatusOK:
		return exitCannotRun, fmt.Errorf("the request ran %d times and was answered with status %d", runs, r.Status)
	case r.Received == r.Expected:
		return exitHeld, nil
	case r.TookMS > (stopAfter + graceTime).Milliseconds():
		return exitCannotRun, fmt.Errorf("the client read for longer than the grace time")
	}
	rec.violation("LOST", "request %s ran once, and its answer ended after %d of %d bytes", r.ID, r.Received, r.Expected)
	return exitBroken, nil
}

// readSlowly sends a request that may run once and reads its answer at readRate.
func readSlowly(rec *record, front string) slowResult {
	r := slowResult{ID: newID()}
	begin := time.Now()
	defer func() { r.TookMS = time.Since(begin).Milliseconds() }()
	conn, err := (&net.Dialer{Control: smallWindow}).Dial("tcp", front)
	if err != nil {
		r.Error = err.Error()
		return r
	}
	defer func() { _ = conn.Close() }()
	req, err := newRequest(http.MethodPost, front, "/once/x?bytes="+strconv.Itoa(answerBytes), r.ID, "weight 31.4")
	if err != nil {
		r.Error = err.Error()
		return r
	}
	rec.add("sent", map[string]string{"id": r.ID, "to": front})
	if err := req.Write(conn); err != nil {
		r.Error = err.Error()
		return r
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		r.Error = err.Error()
		return r
	}
	r.Status, r.Expected = resp.StatusCode, resp.ContentLength
	buf := make([]byte, 4<<10)
	for {
		n, err := resp.Body.Read(buf)
		if r.Received += int64(n); err != nil {
			if err != io.EOF {
				r.Error = err.Error()
			}
			r.TookMS = time.Since(begin).Milliseconds()
			return r
		}
		due := time.Duration(r.Received) * time.Second / readRate
		time.Sleep(due - time.Since(begin))
	}
}

// smallWindow gives a socket the window and the segments of a client on an ordinary link.
func smallWindow(_, _ string, c syscall.RawConn) error {
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		err = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment))
		if err == nil {
			err = os.NewSyscallError("setsockopt", syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window))
		}
	}); controlErr != nil {
		return controlErr
	}
	return err
}
