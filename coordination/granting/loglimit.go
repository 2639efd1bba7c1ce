package granting

import "spanrill"

// logInterval is the shortest time between two log lines about the same.
const logInterval = spanrill.Second

// logLimit bounds the log lines about one matter. Its zero value is ready to use.
type logLimit struct {
	at     spanrill.Millis
	logged bool
}

// allow reports whether a line may be logged now, and counts it as logged.
func (l *logLimit) allow(now spanrill.Millis) bool {
	if l.logged && now-l.at < logInterval {
		return false
	}
	l.at, l.logged = now, true
	return true
}
