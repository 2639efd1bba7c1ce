package spanrillcmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"spanrill/scene"
	"spanrill/standin/model"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name: "demo", Usage: "run a whole system in this process and show it at work",
		Description: "spanrill demo\n\nTwo daemons, seven engines of three kinds and one plain service serve\n" +
			"a few requests. One engine is killed while an answer streams, and the\nanswer is still whole.",
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := scene.Start(ctx, scene.Demo())
			if err != nil {
				return fmt.Errorf("start demo: %w", err)
			}
			defer s.Close()
			d := &demo{c: c, scene: s}
			return d.run(ctx)
		},
	}
}

// demo shows one scene at work.
type demo struct {
	c     *cli.Command
	scene *scene.Scene
	whole int
	asked int
}

func (d *demo) run(ctx context.Context) error {
	printf(d.c, "2 daemons, %d engines, 1 plain service are up\n\n", len(d.scene.Spec().Engines))
	steps := []func(context.Context) error{
		func(ctx context.Context) error { return d.ask(ctx, 0, "explain the week of colony 12", 24, nil) },
		func(ctx context.Context) error { return d.ask(ctx, 1, "draft a feeding note for row 3", 24, nil) },
		func(ctx context.Context) error {
			return d.ask(ctx, 0, "summarise the swarm risk", 48, func() {
				name := d.busyEngine(0)
				printf(d.c, " [%s killed]", name)
				d.scene.Engine(name).Kill()
			})
		},
		d.post,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	printf(d.c, "\n%d of %d answers whole and as computed in one place; 1 reading posted, run %d time\n",
		d.whole, d.asked, d.scene.Services()[0].Runs()["reading-1"])
	return nil
}

const demoSeed = 7

// killAfter is the number of tokens after which the demo kills an engine.
const killAfter = 12

// ask streams one answer and compares it with the one computed in one place.
func (d *demo) ask(ctx context.Context, daemon int, prompt string, tokens int, midway func()) error {
	d.asked++
	printf(d.c, "daemon %d, %q:\n ", daemon+1, prompt)
	body := fmt.Sprintf(`{"model":%q,"seed":%d,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`,
		d.scene.Spec().Model.Name, demoSeed, tokens, prompt)
	resp, err := d.request(ctx, daemon, "/v1/chat/completions", body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := d.show(resp.Body, midway)
	if err != nil {
		return err
	}
	want := model.Text(model.Answer(d.scene.Spec().Model, "<user> "+prompt, demoSeed, tokens))
	if text != want {
		return errors.Errorf("the answer differs: got %q, want %q", text, want)
	}
	d.whole++
	printf(d.c, "\n  whole; chain %s\n", d.lastChain(daemon, resp))
	return nil
}

// busyEngine returns an engine that serves a request of the daemon now.
func (d *demo) busyEngine(daemon int) string {
	for _, u := range d.scene.Daemons()[daemon].Status().Upstreams {
		if u.InFlight > 0 && u.Service == "" && u.Layers.From == 0 {
			return u.Name
		}
	}
	return d.scene.Spec().Engines[0].Name
}

// show prints a stream as it arrives and returns its text.
func (d *demo) show(body io.Reader, midway func()) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for n := 0; lines.Scan(); {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return text.String(), nil
		}
		var chunk struct {
			Choices []struct{ Delta struct{ Content string } }
			Error   *struct{ Message string }
		}
		if err := json.Unmarshal(data, &chunk); err != nil {
			return "", fmt.Errorf("decode chunk: %w", err)
		}
		if chunk.Error != nil {
			return "", errors.Errorf("the stream ended with an error: %s", chunk.Error.Message)
		}
		for _, choice := range chunk.Choices {
			printf(d.c, "%s", choice.Delta.Content)
			text.WriteString(choice.Delta.Content)
		}
		if n++; n == killAfter && midway != nil {
			midway()
		}
	}
	return "", errors.New("the stream was cut without an error")
}

// lastChain returns the chain that a finished stream took, as the daemon
// counts it.
func (d *demo) lastChain(daemon int, resp *http.Response) string {
	for _, r := range d.scene.Daemons()[daemon].Recent() {
		if r.ID == resp.Header.Get("X-Request-Id") {
			return fmt.Sprintf("%s, %d attempt(s)", r.Chain, r.Attempts)
		}
	}
	return "unknown"
}

func (d *demo) request(ctx context.Context, daemon int, path, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, d.scene.URL(daemon)+path, strings.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	req.Header.Set("Authorization", "Bearer "+scene.KeyPrefix+"rucher")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("send request: %w", err)
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, errors.Errorf("daemon %d answered %s", daemon+1, resp.Status)
	}
	return resp, nil
}

func (d *demo) post(ctx context.Context) error {
	resp, err := d.request(ctx, 0, "/services/readings/readings", `{"id":"reading-1","kg":41.5}`)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	printf(d.c, "reading posted: outcome %s\n", resp.Header.Get("Spanrill-Outcome"))
	return nil
}
