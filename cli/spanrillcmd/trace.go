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
		Name: "trace", Usage: "print the log lines of one request, one upstream or one part of prompts, in the order of their times",
		ArgsUsage: "ID",
		Description: "spanrill trace --log front-1.log --log front-2.log 9c41d07be2a35f68\n" +
			"cat *.log | spanrill trace i-7f3a91c2\n\n" +
			"Prints the lines of all daemons that contain the ID, in the order of their times. If it is a\n" +
			"request that was refused for lack of room, or late, it also prints who had the room (as the\n" +
			"daemon logged that grants it), when the caller was told to return and whether it did. If a part\n" +
			"of its prompt was withheld, it prints since when and for which crashes.",
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
	room, parts := newRoomTrace(), &partTrace{}
	err := readLogs(c.StringSlice("log"), func(r io.Reader) error {
		found, err := readTrace(r, id, room, parts)
		lines = append(lines, found...)
		return err
	})
	if err != nil {
		return err
	}
	if len(lines) == 0 {
		return cli.Exit("no line names "+id, exitFailed)
	}
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].time < lines[j].time })
	for _, l := range lines {
		fmt.Fprintln(c.Root().Writer, l)
	}
	room.explain(c.Root().Writer, id)
	parts.explain(c.Root().Writer, id)
	return nil
}

// traceLine is a log line that contains the ID.
type traceLine struct {
	time        string // as logged; lines are sorted by this text
	daemon      string
	event       float64
	msg         string
	otherFields []string // as name=value, sorted
}

// String returns the line in the form that trace prints.
func (l traceLine) String() string {
	return fmt.Sprintf("%s %-22s %3.0f %s\n    %s", l.time, l.daemon, l.event, l.msg, strings.Join(l.otherFields, " "))
}

// readTrace returns the lines of a log that contain the ID, and adds all lines to room and parts. It ignores a prefix before the JSON
// object of a line, and skips lines without one.
func readTrace(r io.Reader, id string, room *roomTrace, parts *partTrace) ([]traceLine, error) {
	var lines []traceLine
	err := scanLog(r, func(object []byte) {
		room.add(object)
		parts.add(object)
		var fields map[string]any
		if bytes.Contains(object, []byte(id)) && json.Unmarshal(object, &fields) == nil {
			lines = append(lines, newTraceLine(fields))
		}
	})
	return lines, err
}

// newTraceLine returns the line with these fields. It drops the level.
func newTraceLine(fields map[string]any) traceLine {
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
			l.otherFields = append(l.otherFields, fmt.Sprintf("%s=%v", name, value))
		}
	}
	sort.Strings(l.otherFields)
	return l
}
