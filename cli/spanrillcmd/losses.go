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
		Name: "losses", Usage: "count from log files how requests on the users' platform ended, and why",
		Description: "spanrill losses --log front-1.log --log front-2.log\n" +
			"cat *.log | spanrill losses --every 2s\n\n" +
			"Each request that ended is counted in one row: served in time, late and why, refused, cut or failed.\n" +
			"Lines of other programs and truncated lines are skipped, and counted.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "log", Usage: "read the log in `FILE`; without it standard input is read"},
			&cli.DurationFlag{Name: "every", Usage: "also count for each span of `TIME`"},
		},
		Action: runLosses,
	}
}

func runLosses(_ context.Context, c *cli.Command) error {
	spanLength := c.Duration("every")
	if spanLength < 0 {
		return cli.Exit("--every must not be negative", exitBadInput)
	}
	l := newLossCounter(spanLength)
	if err := readLogs(c.StringSlice("log"), l.read); err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return json.NewEncoder(c.Root().Writer).Encode(l.report())
	}
	l.print(c.Root().Writer)
	return nil
}

// lossCounter counts how the requests in logs ended, by row of the report.
type lossCounter struct {
	spanLength            time.Duration                // length of the spans that are also counted separately, or 0 for none
	counts                map[string]int               // by row
	spans                 map[time.Time]map[string]int // by start of the span and row
	skippedLines          int                          // lines without an event of a daemon: truncated, or of other programs
	linesDroppedByDaemons int                          // lines that daemons left out of the log, as later lines report
}

func newLossCounter(spanLength time.Duration) *lossCounter {
	return &lossCounter{spanLength: spanLength, counts: map[string]int{}, spans: map[time.Time]map[string]int{}}
}

// read adds the lines of one log to the counts.
func (l *lossCounter) read(r io.Reader) error {
	return scanLog(r, func(object []byte) {
		var line lossLine
		if json.Unmarshal(object, &line) != nil || line.Event == 0 {
			l.skippedLines++
			return
		}
		l.countLine(&line)
	})
}

// lossLine holds the fields of a log line that determine its row.
type lossLine struct {
	Time               time.Time `json:"time"`
	Event              int       `json:"event"`
	Status             int       `json:"status"`
	Reason             string    `json:"reason"`
	Error              string    `json:"error"`
	Whole              *bool     `json:"whole"` // set for streams only
	DurationMillis     int64     `json:"ms"`
	FirstEventMillis   int64     `json:"first_ms"`
	LongestPauseMillis int64     `json:"longest_pause_ms"`
	TargetMillis       int64     `json:"target_ms"`
	PauseTargetMillis  int64     `json:"pause_target_ms"`
	Continuations      int       `json:"taken_up"`
	Moves              int       `json:"moves"`
	DroppedBefore      int       `json:"skipped_before"` // lines that the daemon left out before this one
}

// countLine adds one line to the counts if it logs the end of a request.
func (l *lossCounter) countLine(line *lossLine) {
	l.linesDroppedByDaemons += line.DroppedBefore
	row := line.row()
	if row == "" {
		return
	}
	l.counts[row]++
	if l.spanLength == 0 {
		return
	}
	start := line.Time.Truncate(l.spanLength)
	if l.spans[start] == nil {
		l.spans[start] = map[string]int{}
	}
	l.spans[start][row]++
}

// rowInTime is the row of requests that met their targets or have none.
const rowInTime = "served in time"

// row returns the row in which the line is counted, or "" if it does not log the end of a request.
func (line *lossLine) row() string {
	switch line.Event {
	case events.RequestGivenUp.Number():
		return "refused: " + line.Reason
	case events.StreamFailed.Number():
		return "cut: " + classifyCut(line.Error)
	case events.RequestEnded.Number():
		return line.endedRow()
	}
	return ""
}

func (line *lossLine) endedRow() string {
	if line.Status >= 500 {
		return fmt.Sprintf("failed: the upstream's own %d", line.Status)
	}
	if line.Status >= 400 {
		return fmt.Sprintf("the upstream's own %d", line.Status)
	}
	if line.Whole == nil {
		if line.TargetMillis > 0 && line.DurationMillis > line.TargetMillis {
			return "late: plain call"
		}
		return rowInTime
	}
	return line.streamRow()
}

// streamRow returns the row of a completely delivered stream, by whether it was late and why.
func (line *lossLine) streamRow() string {
	late := line.TargetMillis > 0 && line.FirstEventMillis > line.TargetMillis
	paused := line.PauseTargetMillis > 0 && line.LongestPauseMillis > line.PauseTargetMillis
	switch {
	case !late && !paused:
		return rowInTime
	case late:
		return "late: first event"
	case line.Continuations > 0:
		return "late: pause, taken up elsewhere"
	case line.Moves > 0:
		return "late: pause, moved"
	}
	return "late: pause, engines slow or full"
}

// classifyCut returns the cause of a failed stream. It recognizes causes by parts of the error text.
func classifyCut(errorText string) string {
	for _, c := range []struct{ part, cause string }{
		{"no answer within", "no more time, or the caller left"},
		{"refused with status", "an engine refused to take it up"},
		{"no path has room", "no room to take it up"},
		{"no path covers", "layers missing to take it up"},
		{"does not know the request", "its first engine was lost"},
	} {
		if strings.Contains(errorText, c.part) {
			return c.cause
		}
	}
	return "other"
}

// lossReport is the report in the form that is printed as JSON.
type lossReport struct {
	Ended                 int                       `json:"ended"`
	Rows                  map[string]int            `json:"rows"`
	Spans                 map[string]map[string]int `json:"spans,omitempty"`
	SkippedLines          int                       `json:"lines_skipped"`
	LinesDroppedByDaemons int                       `json:"lines_left_out_by_daemons"`
}

func (l *lossCounter) report() lossReport {
	r := lossReport{Rows: l.counts, SkippedLines: l.skippedLines, LinesDroppedByDaemons: l.linesDroppedByDaemons}
	for _, n := range l.counts {
		r.Ended += n
	}
	for start, counts := range l.spans {
		if r.Spans == nil {
			r.Spans = map[string]map[string]int{}
		}
		r.Spans[start.Format(time.RFC3339)] = counts
	}
	return r
}

// maxSpanRows is the maximum number of rows that are printed for a span besides rowInTime.
const maxSpanRows = 3

func (l *lossCounter) print(w io.Writer) {
	r := l.report()
	fmt.Fprintf(w, "%d requests ended\n", r.Ended)
	for _, row := range rowsByCount(r.Rows) {
		fmt.Fprintf(w, "%8d  %5.1f%%  %s\n", r.Rows[row], 100*float64(r.Rows[row])/float64(r.Ended), row)
	}
	starts := make([]string, 0, len(r.Spans))
	for start := range r.Spans {
		starts = append(starts, start)
	}
	sort.Strings(starts)
	for _, start := range starts {
		fmt.Fprintf(w, "%s  %s\n", start, l.formatSpan(r.Spans[start]))
	}
	if r.LinesDroppedByDaemons > 0 {
		fmt.Fprintf(w, "%d lines were left out by daemons that had many to write\n", r.LinesDroppedByDaemons)
	}
	if r.SkippedLines > 0 {
		fmt.Fprintf(w, "%d lines skipped that are torn or another program's\n", r.SkippedLines)
	}
}

// formatSpan formats the counts of one span: the requests that were in time, and the other rows with
// the most requests.
func (l *lossCounter) formatSpan(counts map[string]int) string {
	parts := []string{fmt.Sprintf("%d in time", counts[rowInTime])}
	for _, row := range rowsByCount(counts) {
		if row != rowInTime && len(parts) <= maxSpanRows {
			parts = append(parts, fmt.Sprintf("%d %s", counts[row], row))
		}
	}
	return strings.Join(parts, ", ")
}

// rowsByCount returns the rows, those with the most requests first.
func rowsByCount(counts map[string]int) []string {
	rows := make([]string, 0, len(counts))
	for row := range counts {
		rows = append(rows, row)
	}
	sort.Slice(rows, func(i, j int) bool {
		if counts[rows[i]] != counts[rows[j]] {
			return counts[rows[i]] > counts[rows[j]]
		}
		return rows[i] < rows[j]
	})
	return rows
}
