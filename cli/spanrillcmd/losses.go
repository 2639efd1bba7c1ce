package spanrillcmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"spanrill/events"
)

func lossesCommand() *cli.Command {
	return &cli.Command{
		Name: "losses", Usage: "count, from log files, what became of requests on the users' platform, and why",
		Description: "spanrill losses --log front-1.log --log front-2.log\n" +
			"cat *.log | spanrill losses --every 2s\n\n" +
			"Each request that ended is in one row: served in time, late and why, refused, cut or failed.\n" +
			"Lines of other programs and torn lines are counted and skipped.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "log", Usage: "read the log in `FILE`; without it standard input is read"},
			&cli.DurationFlag{Name: "every", Usage: "count for each span of `TIME` as well"},
		},
		Action: runLosses,
	}
}

func runLosses(_ context.Context, c *cli.Command) error {
	every := c.Duration("every")
	if every < 0 {
		return cli.Exit("--every must not be negative", exitBadInput)
	}
	l := newLosses(every)
	if err := eachLog(c.StringSlice("log"), l.read); err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return json.NewEncoder(c.Root().Writer).Encode(l.report())
	}
	l.print(c.Root().Writer)
	return nil
}

// losses counts what became of requests.
type losses struct {
	every   time.Duration // length of a span, or 0 for none
	counts  map[string]int
	spans   map[time.Time]map[string]int
	skipped int // lines that are none of ours
	dropped int // lines that daemons left out, as they said
}

func newLosses(every time.Duration) *losses {
	return &losses{every: every, counts: map[string]int{}, spans: map[time.Time]map[string]int{}}
}

// read counts the lines of one log.
func (l *losses) read(r io.Reader) error {
	return scanLog(r, func(object []byte) {
		var line lossLine
		if json.Unmarshal(object, &line) != nil || line.Event == 0 {
			l.skipped++
			return
		}
		l.take(&line)
	})
}

// lossLine is what is read of a line of a log.
type lossLine struct {
	Time        time.Time `json:"time"`
	Event       int       `json:"event"`
	Status      int       `json:"status"`
	Reason      string    `json:"reason"`
	Error       string    `json:"error"`
	Whole       *bool     `json:"whole"` // of streams
	Millis      int64     `json:"ms"`
	First       int64     `json:"first_ms"`
	Pause       int64     `json:"longest_pause_ms"`
	Target      int64     `json:"target_ms"`
	PauseTarget int64     `json:"pause_target_ms"`
	TakenUp     int       `json:"taken_up"`
	Moves       int       `json:"moves"`
	Skipped     int       `json:"skipped_before"`
}

// take counts one line, if a request ended with it.
func (l *losses) take(line *lossLine) {
	l.dropped += line.Skipped
	row := line.row()
	if row == "" {
		return
	}
	l.counts[row]++
	if l.every == 0 {
		return
	}
	at := line.Time.Truncate(l.every)
	if l.spans[at] == nil {
		l.spans[at] = map[string]int{}
	}
	l.spans[at][row]++
}

// inTime is the row of requests that nothing is wrong with.
const inTime = "served in time"

// row names what became of a request, or is empty if none ended with the line.
func (line *lossLine) row() string {
	switch line.Event {
	case events.RequestGivenUp.Number():
		return "refused: " + line.Reason
	case events.StreamFailed.Number():
		return "cut: " + cutCause(line.Error)
	case events.RequestEnded.Number():
		return line.ended()
	}
	return ""
}

func (line *lossLine) ended() string {
	if line.Status >= 500 {
		return fmt.Sprintf("failed: the upstream's own %d", line.Status)
	}
	if line.Status >= 400 {
		return fmt.Sprintf("the upstream's own %d", line.Status)
	}
	if line.Whole == nil {
		if line.Target > 0 && line.Millis > line.Target {
			return "late: plain call"
		}
		return inTime
	}
	return line.stream()
}

// stream says of a stream that was served whole whether it was late, and why.
func (line *lossLine) stream() string {
	late := line.Target > 0 && line.First > line.Target
	paused := line.PauseTarget > 0 && line.Pause > line.PauseTarget
	switch {
	case !late && !paused:
		return inTime
	case late:
		return "late: first event"
	case line.TakenUp > 0:
		return "late: pause, taken up elsewhere"
	case line.Moves > 0:
		return "late: pause, moved"
	}
	return "late: pause, engines slow or full"
}

// cutCause shortens the error of a stream to what tells causes apart.
func cutCause(text string) string {
	for _, c := range []struct{ part, cause string }{
		{"no answer within", "no more time, or the caller left"},
		{"refused with status", "an engine refused to take it up"},
		{"no path has room", "no room to take it up"},
		{"no path covers", "layers missing to take it up"},
		{"does not know the request", "its first engine was lost"},
	} {
		if strings.Contains(text, c.part) {
			return c.cause
		}
	}
	return "other"
}

// lossReport is what is printed as JSON.
type lossReport struct {
	Ended   int                       `json:"ended"`
	Rows    map[string]int            `json:"rows"`
	Spans   map[string]map[string]int `json:"spans,omitempty"`
	Skipped int                       `json:"lines_skipped"`
	Dropped int                       `json:"lines_left_out_by_daemons"`
}

func (l *losses) report() lossReport {
	r := lossReport{Rows: l.counts, Skipped: l.skipped, Dropped: l.dropped}
	for _, n := range l.counts {
		r.Ended += n
	}
	for at, counts := range l.spans {
		if r.Spans == nil {
			r.Spans = map[string]map[string]int{}
		}
		r.Spans[at.Format(time.RFC3339)] = counts
	}
	return r
}

// mostShown is how many rows are shown of each span.
const mostShown = 3

func (l *losses) print(w io.Writer) {
	r := l.report()
	fmt.Fprintf(w, "%d requests ended\n", r.Ended)
	for _, row := range byCount(r.Rows) {
		fmt.Fprintf(w, "%8d  %5.1f%%  %s\n", r.Rows[row], 100*float64(r.Rows[row])/float64(r.Ended), row)
	}
	starts := make([]string, 0, len(r.Spans))
	for at := range r.Spans {
		starts = append(starts, at)
	}
	sort.Strings(starts)
	for _, at := range starts {
		fmt.Fprintf(w, "%s  %s\n", at, l.worst(r.Spans[at]))
	}
	if r.Dropped > 0 {
		fmt.Fprintf(w, "%d lines were left out by daemons that had many to write\n", r.Dropped)
	}
	if r.Skipped > 0 {
		fmt.Fprintf(w, "%d lines skipped that are torn or another program's\n", r.Skipped)
	}
}

// worst describes one span.
func (l *losses) worst(counts map[string]int) string {
	parts := []string{fmt.Sprintf("%d in time", counts[inTime])}
	for _, row := range byCount(counts) {
		if row != inTime && len(parts) <= mostShown {
			parts = append(parts, fmt.Sprintf("%d %s", counts[row], row))
		}
	}
	return strings.Join(parts, ", ")
}

// byCount returns the rows, the largest first.
func byCount(counts map[string]int) []string {
	rows := make([]string, 0, len(counts))
	for row := range counts {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, k int) bool {
		if counts[rows[i]] != counts[rows[k]] {
			return counts[rows[i]] > counts[rows[k]]
		}
		return rows[i] < rows[k]
	})
	return rows
}
