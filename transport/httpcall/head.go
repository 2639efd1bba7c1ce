package httpcall

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that the bytes that an upstream sent are not an HTTP answer.
var ErrMalformed = errors.New("malformed answer")

// maxInformational is the number of informational heads after which an answer is given up.
const maxInformational = 32

// awaitHead waits for the head of a final answer and checks it, which fasthttp does only in part. The head
// stays unread in r, whose buffer bounds its size. Informational heads before it are checked and read.
func awaitHead(r *bufio.Reader) error {
	for range maxInformational + 1 {
		head, err := peekHead(r)
		if err != nil {
			return err
		}
		status, err := checkHead(string(head))
		if err != nil {
			return err
		}
		if status >= statusFinal {
			return nil
		}
		if _, err := r.Discard(len(head)); err != nil {
			return fmt.Errorf("skip informational head: %w", err)
		}
	}
	return fmt.Errorf("%w: more than %d informational heads", ErrMalformed, maxInformational)
}

// peekHead waits for a whole head and returns it, up to and including its empty line, without reading it.
// It gives up as soon as the bytes cannot become a head.
func peekHead(r *bufio.Reader) ([]byte, error) {
	for {
		received, err := r.Peek(r.Buffered())
		if err != nil {
			return nil, fmt.Errorf("peek at head: %w", err)
		}
		if size := headSize(received); size > 0 {
			return received[:size], nil
		}
		if prefix := received[:min(len(received), len(versionPrefix))]; !strings.HasPrefix(versionPrefix, string(prefix)) {
			return nil, fmt.Errorf("%w: it begins with %q", ErrMalformed, prefix)
		}
		if _, err := r.Peek(len(received) + 1); err != nil {
			return nil, headError(err, len(received))
		}
	}
}

// headError returns the error for a head that ended after that many bytes.
func headError(err error, received int) error {
	switch {
	case errors.Is(err, bufio.ErrBufferFull):
		return fmt.Errorf("%w: the head has more than %d bytes", ErrMalformed, received)
	case errors.Is(err, io.EOF) && received > 0:
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("read head after %d bytes: %w", received, err)
}

// headSize returns the size of the head at the beginning of b, or 0 if b has only a part of it.
func headSize(b []byte) int {
	for size := 0; ; {
		n := bytes.IndexByte(b[size:], '\n') + 1
		if n == 0 {
			return 0
		}
		isEmpty := n == 1 || n == 2 && b[size] == '\r'
		size += n
		if isEmpty {
			return size
		}
	}
}

// trimLineEnd removes the end of a line, which is CR LF, or LF alone (RFC 9112, section 2.2).
func trimLineEnd(line string) string {
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
}

// checkHead checks a whole head as RFC 9110 and RFC 9112 define it, but for what the values of its fields
// mean, and returns its status.
func checkHead(head string) (status int, err error) {
	isFirst := true
	for line := range strings.Lines(head) {
		line = trimLineEnd(line)
		switch {
		case status == 0:
			status, err = parseStatusLine(line)
		case line == "":
		case !isFirst && (line[0] == ' ' || line[0] == '\t'):
			err = checkFieldValue(line) // continues the value of the line before
		default:
			err = checkField(line)
			isFirst = false
		}
		if err != nil {
			return 0, err
		}
	}
	return status, nil
}

const (
	// versionPrefix is the beginning of the status lines of all versions of HTTP/1.
	versionPrefix = "HTTP/1."
	// lowestStatus, statusFinal and highestStatus are the lowest status, the lowest one of a final answer
	// and the highest one (RFC 9110, section 15).
	lowestStatus, statusFinal, highestStatus = 100, 200, 599
	statusDigits                             = 3
	// statusSwitching announces another protocol, which requests never ask for.
	statusSwitching = 101
)

// parseStatusLine returns the status in a status line.
func parseStatusLine(line string) (int, error) {
	version, rest, _ := strings.Cut(line, " ")
	if minor, ok := strings.CutPrefix(version, versionPrefix); !ok || len(minor) != 1 || !isDigits(minor) {
		return 0, malformedLine("status line", line)
	}
	code, reason, _ := strings.Cut(rest, " ")
	if len(code) != statusDigits || !isDigits(code) || !httpguts.ValidHeaderFieldValue(reason) {
		return 0, malformedLine("status line", line)
	}
	status, err := strconv.Atoi(code)
	if err != nil {
		return 0, fmt.Errorf("parse status: %w", err)
	}
	if status < lowestStatus || status > highestStatus || status == statusSwitching {
		return 0, fmt.Errorf("%w: status %s", ErrMalformed, code)
	}
	return status, nil
}

// isDigits reports whether text consists of decimal digits.
func isDigits(text string) bool {
	return strings.Trim(text, "0123456789") == ""
}

// checkField checks a header line. A blank before the colon is not allowed, although RFC 9112 lets a
// proxy remove it: upstreams and callers may disagree on whether such a field counts.
func checkField(line string) error {
	name, value, found := strings.Cut(line, ":")
	if !found || !httpguts.ValidHeaderFieldName(name) {
		return malformedLine("header line", line)
	}
	return checkFieldValue(value)
}

// checkFieldValue checks the value of a header line.
func checkFieldValue(value string) error {
	if !httpguts.ValidHeaderFieldValue(value) {
		return malformedLine("header value", value)
	}
	return nil
}

// malformedLine returns the error for a malformed part of a head.
func malformedLine(part, text string) error {
	return fmt.Errorf("%w: %s %.64q", ErrMalformed, part, text)
}
