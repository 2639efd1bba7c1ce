package scene_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"spanrill/coordination/reach"
	"spanrill/scene"
	"spanrill/standin/faultproxy"
)

// cutOffRounds is the number of requests of each kind that the test sends to a daemon without a path.
const cutOffRounds = 20

// Guards against a daemon of the project's own interface that refuses its callers because it has lost
// its path to all upstreams, while another daemon reaches them.
func TestDaemonWithoutPathToUpstreamsServesCallers(t *testing.T) {
	for name, cut := range map[string]faultproxy.Cut{
		"connections are reset": faultproxy.CutReset, "connections hang": faultproxy.CutSilent, "only new ones are lost": faultproxy.CutNewOnly,
	} {
		t.Run(name, func(t *testing.T) {
			links := []*faultproxy.Link{faultproxy.NewLink(), faultproxy.NewLink()}
			spec := scene.Demo()
			spec.UpstreamDial = func(daemon int) reach.DialFunc { return links[daemon].DialContext }
			s, err := scene.Start(context.Background(), spec)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close()
			for i, l := range links {
				defer l.Close()
				if served := serveRounds(t, s, i, fmt.Sprint("before-", i), 2); served != 4 {
					t.Fatalf("daemon %d served %d of 4 requests before the cut, want all", i, served)
				}
			}
			links[0].SetCut(cut)
			if served := serveRounds(t, s, 0, "cut", cutOffRounds); served < 2*cutOffRounds*95/100 {
				t.Errorf("%d of %d first attempts were served, want at least 95 %%", served, 2*cutOffRounds)
			}
			for id, runs := range s.Services()[0].Runs() {
				if runs > 1 {
					t.Errorf("reading %s was executed %d times, want once at most", id, runs)
				}
			}
		})
	}
}

// Guards against refusals on the project's own interface when most daemons have no path.
func TestMostDaemonsWithoutPathServeCallers(t *testing.T) {
	const daemons, helpers = 6, 1
	var links []*faultproxy.Link
	for range daemons {
		links = append(links, faultproxy.NewLink())
	}
	spec := scene.Demo()
	spec.Daemons = daemons
	spec.UpstreamDial = func(daemon int) reach.DialFunc { return links[daemon].DialContext }
	s, err := scene.Start(context.Background(), spec)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for i, l := range links {
		defer l.Close()
		if served := serveRounds(t, s, i, fmt.Sprint("before-", i), 2); served != 4 {
			t.Fatalf("daemon %d served %d of 4 requests before the cut, want all", i, served)
		}
	}
	ways := []faultproxy.Cut{faultproxy.CutReset, faultproxy.CutSilent, faultproxy.CutNewOnly}
	for i, l := range links[helpers:] {
		l.SetCut(ways[i%len(ways)])
	}
	served := 0
	for i := range daemons - helpers {
		served += serveRounds(t, s, helpers+i, fmt.Sprint("cut-", i), cutOffRounds)
	}
	if sent := 2 * cutOffRounds * (daemons - helpers); served < sent*95/100 {
		t.Errorf("%d of %d first attempts were served, want at least 95 %%", served, sent)
	}
	for id, runs := range s.Services()[0].Runs() {
		if runs > 1 {
			t.Errorf("reading %s was executed %d times, want once at most", id, runs)
		}
	}
}

// serveRounds sends a generation and a call of a plain service in each round, and returns how many of
// them were answered completely.
func serveRounds(t *testing.T, s *scene.Scene, daemon int, name string, rounds int) (served int) {
	t.Helper()
	for i := range rounds {
		generation := fmt.Sprintf(`{"model":%q,"seed":1,"max_tokens":4,"messages":[{"role":"user","content":"hello"}]}`, s.Spec().Model.Name)
		reading := fmt.Sprintf(`{"id":"%s-%d","kg":41.5}`, name, i)
		for path, body := range map[string]string{"/v1/chat/completions": generation, "/services/readings/readings": reading} {
			if post(t, s.URL(daemon)+path, body) == http.StatusOK {
				served++
			}
		}
	}
	return served
}

// post sends a request of the client account rucher and returns the status of its answer.
func post(t *testing.T, url, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+scene.KeyPrefix+"rucher")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
