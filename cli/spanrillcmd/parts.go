package spanrillcmd

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"spanrill"
	"spanrill/events"
	"spanrill/gateway"
)

// printGatewayParts prints which parts of prompts are withheld, since when, for which crashes, and when
// the next request with them is tried.
func printGatewayParts(w io.Writer, page *gateway.PartsPage) {
	fmt.Fprintf(w, "\n%s suspects %d parts of prompts and withholds %d\n", page.Daemon, page.Suspected, len(page.Withheld))
	for _, p := range page.Withheld {
		fmt.Fprintf(w, "part %s withheld for %s%s, %d scheduled trials so far, next in %s\n", p.Part, formatSeconds(p.WithheldFor), onlyAccount(p.Account), p.Trials, formatSeconds(p.NextTrialIn))
		for _, c := range p.Crashes {
			trial := ""
			if c.Trial {
				trial = ", a trial"
			}
			fmt.Fprintf(w, "    engine %s crashed %s ago%s\n", c.Engine, formatSeconds(c.Age), trial)
		}
	}
}

func onlyAccount(account string) string {
	if account == "" {
		return ""
	}
	return " (requests of client account " + account + " only)"
}

func formatSeconds(d spanrill.Millis) string {
	return fmt.Sprintf("%.1f s", float64(d)/float64(spanrill.Second))
}

// partTrace collects from logs which parts of prompts were withheld and why, so that the refusal of a
// request can be explained.
type partTrace struct {
	lines    []partLine
	refusals []partLine
}

// partLine is a log line about parts of prompts.
type partLine struct {
	Time     time.Time `json:"time"`
	Daemon   string    `json:"daemon"`
	Event    int       `json:"event"`
	Part     string    `json:"part"`     // of 650, 651 and 652
	Parts    string    `json:"parts"`    // of lines of requests
	Upstream string    `json:"upstream"` // of 633
	Request  string    `json:"request"`
	Reason   string    `json:"reason"`
	Detail   string    `json:"detail"`
}

// add adds a log line if it is about parts.
func (t *partTrace) add(object []byte) {
	for _, e := range []events.Event{events.UpstreamCrashed, events.PartWithheld, events.PartReleased, events.PartTrialSent, events.RequestGivenUp} {
		var line partLine
		if !hasEvent(object, e) || json.Unmarshal(object, &line) != nil {
			continue
		}
		if e == events.RequestGivenUp {
			if line.Reason == spanrill.ReasonPartWithheld.Code() || line.Reason == spanrill.ReasonPartSuspected.Code() {
				t.refusals = append(t.refusals, line)
			}
			continue
		}
		t.lines = append(t.lines, line)
	}
}

// explain prints for each refusal of the request what was logged before about the part for which it was
// refused.
func (t *partTrace) explain(w io.Writer, request string) {
	for _, refusal := range t.refusals {
		if refusal.Request != request {
			continue
		}
		fmt.Fprintf(w, "refused: %s: %s\n", refusal.Reason, refusal.Detail)
		for _, part := range strings.Fields(refusal.Parts) {
			if strings.Contains(refusal.Detail, part) {
				t.explainPart(w, part, refusal.Time)
			}
		}
	}
}

// explainPart prints the crashes under requests with a part, its trials, and since when it is withheld.
func (t *partTrace) explainPart(w io.Writer, part string, until time.Time) {
	crashed := map[string]bool{}
	for _, line := range t.lines {
		if line.Time.After(until) || !strings.Contains(line.Part+" "+line.Parts, part) {
			continue
		}
		at := line.Time.Format(time.RFC3339Nano)
		switch line.Event {
		case events.UpstreamCrashed.Number():
			if !crashed[line.Upstream] {
				fmt.Fprintf(w, "    %s engine %s crashed under request %s\n", at, line.Upstream, line.Request)
			}
			crashed[line.Upstream] = true
		case events.PartTrialSent.Number():
			fmt.Fprintf(w, "    %s request %s sent as a trial by %s\n", at, line.Request, line.Daemon)
		case events.PartWithheld.Number():
			fmt.Fprintf(w, "    %s withheld by %s\n", at, line.Daemon)
		case events.PartReleased.Number():
			fmt.Fprintf(w, "    %s released by %s\n", at, line.Daemon)
		}
	}
}
