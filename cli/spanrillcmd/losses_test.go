package spanrillcmd

import (
	"strings"
	"testing"
	"time"
)

// A line that logs the end of a request is counted in the row that its event, status and times determine.
func TestRowOfLogLine(t *testing.T) {
	const stream = `"event":621,"status":200,"whole":true,"target_ms":500,"pause_target_ms":200,`
	for _, c := range []struct{ name, line, want string }{
		{"stream in time", `{` + stream + `"first_ms":80,"longest_pause_ms":90}`, rowInTime},
		{"stream in time, with a prefix before the JSON", `12.5 front-1 {` + stream + `"first_ms":80,"longest_pause_ms":90}`, rowInTime},
		{"stream with a late first event", `{` + stream + `"first_ms":501,"longest_pause_ms":900}`, "late: first event"},
		{"stream with a pause, taken up elsewhere and moved", `{` + stream + `"first_ms":80,"longest_pause_ms":201,"taken_up":1,"moves":2}`, "late: pause, taken up elsewhere"},
		{"stream with a pause, moved", `{` + stream + `"first_ms":80,"longest_pause_ms":201,"moves":2}`, "late: pause, moved"},
		{"stream with a pause, neither taken up nor moved", `{` + stream + `"first_ms":80,"longest_pause_ms":201}`, "late: pause, engines slow or full"},
		{"plain call in time", `{"event":621,"status":200,"ms":90,"target_ms":100}`, rowInTime},
		{"late plain call", `{"event":621,"status":200,"ms":101,"target_ms":100}`, "late: plain call"},
		{"upstream answered 500", `{"event":621,"status":500,"ms":10}`, "failed: the upstream's own 500"},
		{"refused request", `{"event":623,"reason":"no_room","status":503}`, "refused: no_room"},
		{"failed stream", `{"event":602,"error":"no path has room: stream cannot be completed"}`, "cut: no room to take it up"},
		{"event other than the end of a request", `{"event":620}`, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLossCounter(0)
			if err := l.read(strings.NewReader(c.line + "\n")); err != nil {
				t.Fatal(err)
			}
			if c.want == "" && len(l.counts) > 0 || c.want != "" && l.counts[c.want] != 1 {
				t.Fatalf("counted in rows %v, want row %q once, or no row if empty", l.counts, c.want)
			}
		})
	}
}

// Truncated lines and lines of other programs are skipped and counted, each span is counted separately,
// and the report has the number of lines that daemons left out.
func TestLossesReportOfMixedLog(t *testing.T) {
	log := strings.Join([]string{
		`{"event":623,"reason":"no_room","time":"2026-05-15T04:08:12.567Z","skipped_before":3}`,
		`{"event":623,"reason":"no_room","time":"2026-05-15T04:08:13.900Z"}`,
		`{"event":621,"status":200,"time":"2026-05-15T04:08:14.100Z"}`,
		`{"event":621,"status":2`,
		`another program's line`,
		`{"level":"info","msg":"without a number"}`,
	}, "\n")
	l := newLossCounter(2 * time.Second)
	if err := l.read(strings.NewReader(log)); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	l.print(&out)
	want := `3 requests ended
       2   66.7%  refused: no_room
       1   33.3%  served in time
2026-05-15T04:08:12Z  0 in time, 2 refused: no_room
2026-05-15T04:08:14Z  1 in time
3 lines were left out by daemons that had many to write
3 lines skipped that are torn or another program's
`
	if out.String() != want {
		t.Fatalf("printed:\n%s\nwant:\n%s", out.String(), want)
	}
}
