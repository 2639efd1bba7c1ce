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
		Name: "demo", Usage: "run a whole system in this process and show how it serves requests",
		Description: "spanrill demo\n\nTwo daemons, seven engines of three kinds and one plain service serve\n" +
			"a few requests. One engine is killed while an answer streams, and the\nanswer is still complete.",
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := scene.Start(ctx, scene.Demo())
			if err != nil {
				return fmt.Errorf("start demo: %w", err)
			}
			defer s.Close()
			d := &demo{cmd: c, scene: s}
			return d.run(ctx)
		},
	}
}

// demo sends requests to a scene and prints the answers.
type demo struct {
	cmd       *cli.Command
	scene     *scene.Scene
	completed int // answers that were complete and equal to the reference
	requested int // answers that were requested
}

func (d *demo) run(ctx context.Context) error {
	printf(d.cmd, "2 daemons, %d engines, 1 plain service are up\n\n", len(d.scene.Spec().Engines))
	steps := []func(context.Context) error{
		func(ctx context.Context) error { return d.ask(ctx, 0, "explain the week of colony 12", 24, nil) },
		func(ctx context.Context) error { return d.ask(ctx, 1, "draft a feeding note for row 3", 24, nil) },
		func(ctx context.Context) error {
			return d.ask(ctx, 0, "summarise the swarm risk", 48, func() {
				name := d.busyEngine(0)
				printf(d.cmd, " [%s killed]", name)
				d.scene.Engine(name).Kill()
			})
		},
		d.postReading,
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	printf(d.cmd, "\n%d of %d answers complete and equal to the reference; 1 reading posted, executed %d time(s)\n",
		d.completed, d.requested, d.scene.Services()[0].Runs()["reading-1"])
	return nil
}

const demoSeed = 7

// killAfterTokens is the number of tokens of a stream after which the demo kills an engine.
const killAfterTokens = 12

// ask streams one answer and compares it with the reference, which is computed with all layers in
// one place. midStream, if not nil, is called after killAfterTokens tokens.
func (d *demo) ask(ctx context.Context, daemon int, prompt string, tokens int, midStream func()) error {
	d.requested++
	printf(d.cmd, "daemon %d, %q:\n ", daemon+1, prompt)
	body := fmt.Sprintf(`{"model":%q,"seed":%d,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":%q}]}`,
		d.scene.Spec().Model.Name, demoSeed, tokens, prompt)
	resp, err := d.send(ctx, daemon, "/v1/chat/completions", body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := d.printStream(resp.Body, midStream)
	if err != nil {
		return err
	}
	want := model.Text(model.Answer(d.scene.Spec().Model, "<user> "+prompt, demoSeed, tokens))
	if text != want {
		return errors.Errorf("the answer differs from the reference: got %q, want %q", text, want)
	}
	d.completed++
	printf(d.cmd, "\n  complete; chain %s\n", d.describeChain(daemon, resp))
	return nil
}

// busyEngine returns the name of an engine that holds the first layer and runs a request of the
// daemon, or of the first engine of the scene if none does.
func (d *demo) busyEngine(daemon int) string {
	for _, u := range d.scene.Daemons()[daemon].Status().Upstreams {
		if u.InFlight > 0 && u.Service == "" && u.Layers.From == 0 {
			return u.Name
		}
	}
	return d.scene.Spec().Engines[0].Name
}

// printStream prints the text of a stream as it arrives and returns it. It calls midStream as ask does.
func (d *demo) printStream(body io.Reader, midStream func()) (string, error) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	for chunks := 0; lines.Scan(); {
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
			printf(d.cmd, "%s", choice.Delta.Content)
			text.WriteString(choice.Delta.Content)
		}
		if chunks++; chunks == killAfterTokens && midStream != nil {
			midStream()
		}
	}
	return "", errors.New("the stream ended without [DONE] and without an error")
}

// describeChain returns the chain and the number of attempts that the daemon recorded for a
// finished stream.
func (d *demo) describeChain(daemon int, resp *http.Response) string {
	for _, r := range d.scene.Daemons()[daemon].RecentGenerations() {
		if r.ID == resp.Header.Get("X-Request-Id") {
			return fmt.Sprintf("%s, %d attempt(s)", r.Chain, r.Attempts)
		}
	}
	return "unknown"
}

// send posts a body to a daemon as the client account rucher. An answer with a status other than 200
// is an error.
func (d *demo) send(ctx context.Context, daemon int, path, body string) (*http.Response, error) {
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

func (d *demo) postReading(ctx context.Context) error {
	resp, err := d.send(ctx, 0, "/services/readings/readings", `{"id":"reading-1","kg":41.5}`)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	printf(d.cmd, "reading posted: outcome %s\n", resp.Header.Get("Spanrill-Outcome"))
	return nil
}
