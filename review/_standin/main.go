// Standin holds the stand-ins of the scripts in review: the platform's store, the servers of a plain
// service, and clients.
package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
)

func main() {
	if len(os.Args) > 4 && os.Args[1] == "ending" {
		end(runEnding(os.Args[2], os.Args[3:]))
	}
	if len(os.Args) == 6 && os.Args[1] == "slow" {
		end(runSlow(os.Args[2], os.Args[3:]))
	}
	if len(os.Args) > 3 && os.Args[1] == "plain" {
		end(runPlain(os.Args[2], os.Args[3:]))
	}
	if err := start(os.Args[1:]); err != nil {
		end(exitCannotRun, err)
	}
}

// end ends the process with the exit code of a case.
func end(exitCode int, err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
	}
	os.Exit(exitCode)
}

// exitCannotRun is the exit code of a case that could not run.
const exitCannotRun = 2

func start(args []string) error {
	if len(args) < 2 {
		return fmt.Errorf("usage: standin platform DIR SERVERS | engine STORE ID ADDR RUNS | server STORE ID ADDR | ending RECORD leave|crash RUNS ID=PID... FRONT=READY... | plain RECORD ID=PID... FRONT=READY... | slow RECORD FRONT=READY PID RUNS | ports N")
	}
	switch {
	case args[0] == "platform" && len(args) == 3:
		n, err := strconv.Atoi(args[2])
		if err != nil {
			return err
		}
		return platform(args[1], n)
	case args[0] == "engine" && len(args) == 5:
		return runEngine(args[1], args[2], args[3], args[4])
	case args[0] == "server" && len(args) == 4:
		return runSlowServer(args[1], args[2], args[3])
	case args[0] == "ports" && len(args) == 2:
		n, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		return printPorts(n)
	}
	return fmt.Errorf("unknown command %q", args[0])
}

// printPorts prints the numbers of n free ports.
func printPorts(n int) error {
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer func() { _ = ln.Close() }()
		fmt.Println(ln.Addr().(*net.TCPAddr).Port)
	}
	return nil
}
