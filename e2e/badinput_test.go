package e2e

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Each invalid request gets a specific error with a stable code, and the daemon
// keeps serving.
func TestBadRequestsGetClearErrors(t *testing.T) {
	f := newFleet(t, shape{daemons: 1, enginesPerStage: 1, services: 1})
	chatPath := "/v1/chat/completions"
	validBody := chat{prompt: "hive", seed: 1, tokens: 2}.body()
	for _, c := range []struct {
		name    string
		method  string
		path    string
		key     string
		body    string
		status  int
		code    string
		param   string
		message string
	}{
		{"wrong key", "POST", chatPath, "nobody", validBody, 401, "invalid_api_key", "", "no client account"},
		{"not JSON", "POST", chatPath, testKey, `{"model": oops`, 400, "invalid_body", "", "at byte 11"},
		{"not a JSON object", "POST", chatPath, testKey, `[1]`, 400, "invalid_body", "", "JSON object"},
		{"no model", "POST", chatPath, testKey, `{"messages":[]}`, 400, "invalid_field", "model", "missing"},
		{"wrong type", "POST", chatPath, testKey, `{"model":"advice","max_tokens":"many"}`, 400, "invalid_field", "max_tokens", "not a string"},
		{"unknown model", "POST", chatPath, testKey, `{"model":"x","messages":[]}`, 404, "model_not_found", "model", `"x"`},
		{"no messages", "POST", chatPath, testKey, `{"model":"advice"}`, 400, "invalid_field", "messages", "missing"},
		{"no prompt", "POST", "/v1/completions", testKey, `{"model":"advice"}`, 400, "invalid_field", "prompt", "missing"},
		{"too many tokens", "POST", chatPath, testKey, `{"model":"advice","max_tokens":401,"messages":[]}`, 400, "invalid_field", "max_tokens", "1 to 400"},
		{"more than one answer", "POST", chatPath, testKey, `{"model":"advice","n":2,"messages":[]}`, 400, "invalid_field", "n", "must be 1"},
		{"unknown route", "GET", "/v2/chat", testKey, ``, 404, "unknown_route", "", "/v2/chat"},
		{"unknown service", "POST", "/services/mail/x", testKey, ``, 404, "service_not_found", "", "mail"},
		{"call not allowed", "DELETE", "/services/readings/readings", testKey, ``, 403, "call_not_allowed", "", "DELETE"},
		{"body too large", "POST", chatPath, testKey, `{"pad":"` + strings.Repeat("x", 5<<20) + `"}`, 413, "body_too_large", "", "4194304"},
		{"wrong event id", "POST", chatPath, testKey, validBody, 400, "invalid_field", "Last-Event-ID", "does not belong"},
	} {
		t.Run(c.name, func(t *testing.T) {
			headers := map[string]string{"Authorization": "Bearer " + c.key}
			if c.param == "Last-Event-ID" {
				headers["Last-Event-ID"] = "1.2.3"
			}
			a := f.call("d1", c.method, c.path, headers, c.body)
			var body struct {
				Error struct{ Message, Code, Param, Outcome string }
			}
			if a.err != nil || json.Unmarshal(a.body, &body) != nil {
				t.Fatalf("the answer has no JSON error: status %d, %v: %s", a.status, a.err, a.body)
			}
			e := body.Error
			if a.status != c.status || e.Code != c.code || e.Param != c.param || !strings.Contains(e.Message, c.message) {
				t.Errorf("not the expected status and error: got status %d, error %+v", a.status, e)
			}
			if a.outcome != "not-run" || e.Outcome != "not-run" || a.header.Get("X-Request-Id") == "" {
				t.Errorf("got outcome %q and header %v, want not-run and an X-Request-Id", a.outcome, a.header)
			}
		})
	}
	if _, complete, a := f.ask("d1", chat{prompt: "hive", seed: 1, tokens: 2}); !complete {
		t.Fatalf("a valid request afterwards is not answered completely: status %d %s", a.status, a.body)
	}
}

// sendRaw sends bytes over a new connection and returns the status line of the
// answer, or "" at once if noAnswer is set.
func (f *fleet) sendRaw(name, request string, noAnswer bool) string {
	c, err := net.Dial("tcp", f.daemons[name].settings.Listen)
	f.check(err)
	defer func() { _ = c.Close() }()
	_, err = c.Write([]byte(request))
	f.check(err)
	if noAnswer {
		return ""
	}
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	buf := make([]byte, 4096)
	n, _ := c.Read(buf)
	line, _, _ := strings.Cut(string(buf[:n]), "\r\n")
	return line
}

func TestMalformedHTTPIsRejected(t *testing.T) {
	f := newFleet(t, shape{daemons: 1, enginesPerStage: 1, services: 1})
	huge := "GET / HTTP/1.1\r\nHost: x\r\nX-Pad: " + strings.Repeat("x", 20<<10) + "\r\n\r\n"
	if line := f.sendRaw("d1", huge, false); !strings.Contains(line, "431") {
		t.Errorf("oversized headers got %q, want status 431", line)
	}
	if line := f.sendRaw("d1", "what is this\r\n\r\n", false); !strings.Contains(line, "400") {
		t.Errorf("garbage got %q, want status 400", line)
	}
	f.sendRaw("d1", "POST /services/readings/readings HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
		"\r\nContent-Length: 100\r\n\r\n{\"id\":\"half\"", true)
	if a := f.postReading("d1", "whole", ""); a.outcome != "ran" {
		t.Errorf("a valid request afterwards has the outcome %q, want ran", a.outcome)
	}
	if f.runCount("half") != 0 {
		t.Error("a truncated request has run")
	}
}

// The engines stop working on a request whose caller has disconnected.
func TestRequestOfDisconnectedCallerIsCancelled(t *testing.T) {
	f := newFleet(t, shape{daemons: 1, enginesPerStage: 1})
	for _, stream := range []bool{true, false} {
		c := chat{prompt: "hive", seed: 3, tokens: 400, stream: stream}
		conn, err := net.Dial("tcp", f.daemons["d1"].settings.Listen)
		f.check(err)
		body := c.body()
		_, err = fmt.Fprintf(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
			testKey, len(body), body)
		f.check(err)
		f.awaitStreams(1)
		f.check(conn.Close())
		f.await("the request has ended", func() bool {
			s, err := f.status("d1")
			return err == nil && s.Running == 0 && s.InFlight == 0
		})
		f.await("the daemon has counted the disconnected caller", func() bool {
			_, metrics := get("http://" + f.daemons["d1"].settings.AdminListen + "/metrics")
			return !strings.Contains(metrics, "spanrill_callers_left_total 0\n")
		})
	}
}

// Requests with fields unknown to spanrill are served, and a client without
// knowledge of spanrill gets the model list that it expects.
func TestUnknownFieldsPassThrough(t *testing.T) {
	f := newFleet(t, shape{daemons: 1, enginesPerStage: 1})
	body := `{"model":"advice","seed":1,"max_tokens":2,"top_k":40,"vendor":{"x":[1]},"messages":[{"role":"user","content":[{"type":"text","text":"hive"}]}]}`
	a := f.call("d1", http.MethodPost, "/v1/chat/completions", nil, body)
	if a.status != http.StatusOK {
		t.Fatalf("a request with unknown fields: status %d, want 200: %s", a.status, a.body)
	}
	models := f.call("d1", http.MethodGet, "/v1/models", nil, "")
	if !strings.Contains(string(models.body), `"id":"advice"`) {
		t.Fatalf("the model list lacks advice: %s", models.body)
	}
}
