package spanrillcmd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/urfave/cli/v3"
)

func traceCommand() *cli.Command {
	return &cli.Command{
		Name: "trace", Usage: "tell the story of one request, or of one upstream, from log files",
		ArgsUsage: "ID",
		Description: "spanrill trace --log front-1.log --log front-2.log 9c41d07be2a35f68\n" +
			"cat *.log | spanrill trace i-7f3a91c2\n\n" +
			"Prints the lines that name the id, of all daemons, in the order of their times.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "log", Usage: "read the log in `FILE`; without it standard input is read"},
		},
		Action: runTrace,
	}
}

func runTrace(_ context.Context, c *cli.Command) error {
	id := c.Args().First()
	if id == "" {
		return cli.Exit("name the request or the upstream", exitBadInput)
	}
	var lines []traceLine
	err := eachLog(c.StringSlice("log"), func(r io.Reader) error {
		found, err := readTrace(r, id)
		lines = append(lines, found...)
		return err
	})
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return cli.Exit("no line names "+id, exitFailed)
	}
	sort.SliceStable(lines, func(i, k int) bool { return lines[i].time < lines[k].time })
	for _, l := range lines {
		fmt.Fprintln(c.Root().Writer, l)
	}
	return nil
}

// traceLine is one line of a log that names the id.
type traceLine struct {
	time   string
	daemon string
	event  float64
	msg    string
	rest   []string // other fields as name=value, in the order of their names
}

// String returns the line for people.
func (l traceLine) String() string {
	return fmt.Sprintf("%s %-22s %3.0f %s\n    %s", l.time, l.daemon, l.event, l.msg, strings.Join(l.rest, " "))
}

// readTrace returns the lines of a log that name an id. What stands before the
// JSON object of a line, and lines without one, are skipped.
func readTrace(r io.Reader, id string) ([]traceLine, error) {
	var lines []traceLine
	err := scanLog(r, func(object []byte) {
		var fields map[string]any
		if bytes.Contains(object, []byte(id)) && json.Unmarshal(object, &fields) == nil {
			lines = append(lines, traceLineOf(fields))
		}
	})
	return lines, err
}

func traceLineOf(fields map[string]any) traceLine {
	l := traceLine{}
	for name, value := range fields {
		switch name {
		case "time":
			l.time = fmt.Sprint(value)
		case "daemon":
			l.daemon = fmt.Sprint(value)
		case "msg":
			l.msg = fmt.Sprint(value)
		case "event":
			l.event, _ = value.(float64)
		case "level":
		default:
			l.rest = append(l.rest, fmt.Sprintf("%s=%v", name, value))
		}
	}
	sort.Strings(l.rest)
	return l
}
