package gateway

import (
	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/events"
)

const (
	// loggedStall is the length from which on stalls of this process are logged: one exchange round.
	loggedStall         = newsRound
	stallLinesPerSecond = 2
)

// logStall logs that this process ran late what was due.
func (g *Gateway) logStall(length spanrill.Millis) {
	if length < loggedStall {
		return
	}
	g.stallLog.Log(events.ProcessStalled, g.log, func() logrus.Fields {
		return logrus.Fields{"late_ms": length, "all_late_ms": g.stalls.Total()}
	})
}
