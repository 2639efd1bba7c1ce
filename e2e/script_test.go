// Package e2e tests spanrill end to end with separate processes, by the scripts
// in testdata/script and by Go tests that run daemons behind fault-injecting
// proxies.
//
// Each script gets its own loopback address in $IP, so that scripts use fixed
// ports and can run concurrently.
package e2e

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"spanrill/cli/spanrillcmd"
	"spanrill/cli/spanrilldcmd"
	"spanrill/cli/standincmd"
	"spanrill/standin/model"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"spanrill":         func() { os.Exit(spanrillcmd.Main()) },
		"spanrilld":        func() { os.Exit(spanrilldcmd.Main()) },
		"spanrill-standin": func() { os.Exit(standincmd.Main()) },
		"call":             func() { os.Exit(callMain()) },
		"text":             func() { os.Exit(textMain()) },
		"answer":           func() { os.Exit(answerMain()) },
	})
}

// usedIPs is the number of addresses that nextIP has returned.
var usedIPs atomic.Int64

// nextIP returns a loopback address that this process has not used yet. The process
// ID is part of it, so that concurrent test processes rarely share addresses.
func nextIP() string {
	return fmt.Sprintf("127.%d.%d.1", 10+os.Getpid()%200, usedIPs.Add(1))
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("IP", nextIP())
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"await":   awaitCommand,
			"expand":  expandCommand,
			"replace": replaceCommand,
		},
	})
}

// awaitLimit is the time within which an awaited condition must hold.
const awaitLimit = 20 * time.Second

// awaitCommand waits until a GET of the URL answers with the status and, if
// given, a body that matches the expression.
//
//	await URL STATUS [REGEXP]
func awaitCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 || len(args) > 3 {
		ts.Fatalf("usage: await URL STATUS [REGEXP]")
	}
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	pattern := regexp.MustCompile(strings.Join(args[2:], ""))
	deadline := time.Now().Add(awaitLimit)
	var status int
	var body string
	for time.Now().Before(deadline) {
		status, body = get(args[0])
		if status == want && pattern.MatchString(body) {
			return
		}
		<-time.After(20 * time.Millisecond)
	}
	ts.Fatalf("%s: last answer %d %s", args[0], status, body)
}

func get(url string) (int, string) {
	resp, err := http.Get(url)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// expandCommand replaces $NAME in files with the script's variables.
//
//	expand FILE...
func expandCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg {
		ts.Fatalf("expand cannot be negated")
	}
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}

// replaceCommand replaces every occurrence of a text in a file, which must
// contain it.
//
//	replace OLD NEW FILE
func replaceCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: replace OLD NEW FILE")
	}
	text := ts.ReadFile(args[2])
	if !strings.Contains(text, args[0]) {
		ts.Fatalf("%s does not contain %q", args[2], args[0])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[2]), []byte(strings.ReplaceAll(text, args[0], args[1])), 0o600))
}

// callMain sends one HTTP request and prints the status, the headers that
// scripts check and the body.
//
//	call METHOD URL [NAME:VALUE ...] [BODY]
func callMain() int {
	args := os.Args[1:]
	var body io.Reader
	if n := len(args); n > 2 && !isHeader(args[n-1]) {
		body = strings.NewReader(args[n-1])
		args = args[:n-1]
	}
	req, err := http.NewRequest(args[0], args[1], body)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	for _, h := range args[2:] {
		name, value, _ := strings.Cut(h, ":")
		req.Header.Set(name, strings.TrimSpace(value))
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = resp.Body.Close() }()
	fmt.Println("status", resp.StatusCode)
	for _, h := range []string{"Spanrill-Outcome", "Retry-After", "Spanrill-Chain"} {
		if v := resp.Header.Get(h); v != "" {
			fmt.Println(h, v)
		}
	}
	if _, err := io.Copy(os.Stdout, resp.Body); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

var headerPattern = regexp.MustCompile(`^[A-Za-z-]+:`)

func isHeader(arg string) bool { return headerPattern.MatchString(arg) }

// textMain prints only the text of an answer that call has printed, streamed or
// not.
//
//	text FILE
func textMain() int {
	data, err := os.ReadFile(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	for _, line := range strings.Split(string(data), "\n") {
		var c struct {
			Choices []struct {
				Text    string
				Message struct{ Content string }
				Delta   struct{ Content string }
			}
		}
		line = strings.TrimPrefix(line, "data: ")
		if json.Unmarshal([]byte(line), &c) == nil && len(c.Choices) > 0 {
			fmt.Print(c.Choices[0].Text, c.Choices[0].Message.Content, c.Choices[0].Delta.Content)
		}
	}
	return 0
}

// answerMain prints the expected answer of a model, computed without engines.
//
//	answer NAME VERSION LAYERS SEED TOKENS PROMPT
func answerMain() int {
	args := os.Args[1:]
	layers, err1 := strconv.Atoi(args[2])
	seed, err2 := strconv.ParseUint(args[3], 10, 64)
	tokens, err3 := strconv.Atoi(args[4])
	if err1 != nil || err2 != nil || err3 != nil {
		return 1
	}
	spec := model.Spec{Name: args[0], Version: args[1], Layers: layers}
	fmt.Print(model.Text(model.Answer(spec, args[5], seed, tokens)))
	return 0
}
