package spanrillcmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"spanrill"
	"spanrill/events"
)

// roomTrace collects from logs who had the room of each service, and how requests ended, so that a
// refused or late request can be explained.
type roomTrace struct {
	shorts  map[string][]shortLine  // lines of granting daemons about missing room, by service
	endings map[string][]endingLine // of requests, by their content
}

// shortLine is what a granting daemon logged about the room of a service.
type shortLine struct {
	Time    time.Time `json:"time"`
	Daemon  string    `json:"daemon"`
	Service string    `json:"service"`
	Waiting string    `json:"waiting"`
	Given   string    `json:"given"`
	Waited  string    `json:"waited"`
	Refused string    `json:"refused"`
	Chains  string    `json:"chains"`
}

// endingLine is how a request ended.
type endingLine struct {
	lossLine
	Request          string `json:"request"`
	Content          string `json:"content"`
	Service          string `json:"service"`
	RetryAfterMillis int64  `json:"retry_after_ms"`
}

// arrivedAt returns when the request arrived.
func (e *endingLine) arrivedAt() time.Time {
	return e.Time.Add(-time.Duration(e.DurationMillis) * time.Millisecond)
}

// lacksRoom reports whether the request was refused for lack of room.
func (e *endingLine) lacksRoom() bool {
	return e.Event == events.RequestGivenUp.Number() &&
		(e.Reason == spanrill.ReasonChainsFull.Code() || e.Reason == spanrill.ReasonUpstreamRefused.Code())
}

// isLate reports whether the first event of the request's stream was late.
func (e *endingLine) isLate() bool {
	return e.Event == events.RequestEnded.Number() && e.Whole != nil && e.TargetMillis > 0 && e.FirstEventMillis > e.TargetMillis
}

func newRoomTrace() *roomTrace {
	return &roomTrace{shorts: map[string][]shortLine{}, endings: map[string][]endingLine{}}
}

// add adds a log line, if it is about missing room or the end of a request.
func (t *roomTrace) add(object []byte) {
	switch {
	case hasEvent(object, events.RoomShort):
		var line shortLine
		if json.Unmarshal(object, &line) == nil {
			t.shorts[line.Service] = append(t.shorts[line.Service], line)
		}
	case hasEvent(object, events.RequestGivenUp), hasEvent(object, events.RequestEnded):
		var line endingLine
		if json.Unmarshal(object, &line) == nil && line.Content != "" {
			t.endings[line.Content] = append(t.endings[line.Content], line)
		}
	}
}

// hasEvent reports whether a log line may be of the event. It does not decode the line.
func hasEvent(object []byte, e events.Event) bool {
	return bytes.Contains(object, fmt.Appendf(nil, `"event":%d`, e.Number()))
}

// explain prints, for each refusal and each late end of the request, who had the room, what the
// caller was told and whether it returned.
func (t *roomTrace) explain(w io.Writer, request string) {
	for _, endings := range t.endings {
		for i := range endings {
			e := &endings[i]
			if e.Request != request {
				continue
			}
			if e.lacksRoom() {
				fmt.Fprintf(w, "refused: %s\n", e.Reason)
				t.explainRoom(w, e.Service, e.Time)
				t.explainReturn(w, e)
			}
			if e.isLate() {
				fmt.Fprintf(w, "late: first event after %d ms, target %d ms\n", e.FirstEventMillis, e.TargetMillis)
				t.explainRoom(w, e.Service, e.arrivedAt())
			}
		}
	}
}

// explainRoom prints who had the room of a service at a time.
func (t *roomTrace) explainRoom(w io.Writer, service string, at time.Time) {
	var last *shortLine
	for i := range t.shorts[service] {
		line := &t.shorts[service][i]
		if !line.Time.After(at) && (last == nil || line.Time.After(last.Time)) {
			last = line
		}
	}
	if last == nil {
		fmt.Fprintf(w, "    room: these logs have no line of a granting daemon about %s before it (event %d)\n", service, events.RoomShort.Number())
		return
	}
	fmt.Fprintf(w, "    room: granted by %s, which logged %d ms before, by class: given %s; had to wait %s; refused %s; waiting %s\n",
		last.Daemon, at.Sub(last.Time).Milliseconds(), orNone(last.Given), orNone(last.Waited), orNone(last.Refused), orNone(last.Waiting))
	fmt.Fprintf(w, "    chains: %s\n", orNone(last.Chains))
}

// explainReturn prints what the caller of a refused request was told, and its next request of the
// same content.
func (t *roomTrace) explainReturn(w io.Writer, refused *endingLine) {
	fmt.Fprintf(w, "    told to return after %d ms; ", refused.RetryAfterMillis)
	later := slices.DeleteFunc(slices.Clone(t.endings[refused.Content]), func(e endingLine) bool {
		return e.Request == refused.Request || e.arrivedAt().Before(refused.Time)
	})
	if len(later) == 0 {
		fmt.Fprintln(w, "these logs have no later request of the same content")
		return
	}
	next := slices.MinFunc(later, func(a, b endingLine) int { return a.arrivedAt().Compare(b.arrivedAt()) })
	fmt.Fprintf(w, "returned after %d ms as %s, %s\n", next.arrivedAt().Sub(refused.Time).Milliseconds(), next.Request, next.row())
}

// orNone returns the text, or "none" if it is empty.
func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}
