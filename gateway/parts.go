package gateway

import (
	"fmt"

	"github.com/sirupsen/logrus"

	"spanrill"
	"spanrill/coordination/quarantine"
	"spanrill/events"
)

// mayTryParts reports whether this daemon may send scheduled trials of withheld parts. A daemon that is
// cut off from most others cannot tell whether they have sent one.
func (g *Gateway) mayTryParts() bool { return g.peers.list.HasMajority() }

const (
	// turnStep is the time between the turns of two daemons to send a trial of a part, several times
	// what a message takes, and maxTurns the number of daemons that have a turn of their own.
	turnStep spanrill.Millis = 40
	maxTurns                 = 8
	// turnKeys is the number of orders of daemons. Each part has one of them.
	turnKeys = 16
)

// partTurn returns how long after the first daemon in order this one may send a trial of a part.
func (g *Gateway) partTurn(p quarantine.Part) spanrill.Millis {
	key := fmt.Sprintf("parts-%d", p%turnKeys)
	for i, m := range g.peers.list.Ranked(key) {
		if m.Name == g.peers.name || i == maxTurns {
			return spanrill.Millis(i) * turnStep
		}
	}
	return 0
}

// handlePartChange acts on a part that is withheld from now on or no longer.
func (g *Gateway) handlePartChange(c quarantine.Change) {
	if !c.Withheld {
		events.PartReleased.Log(g.log, logrus.Fields{"part": c.Part.String()})
		return
	}
	events.PartWithheld.Log(g.log, logrus.Fields{"part": c.Part.String(), "crashes": c.Crashes, "account": c.Account})
	for _, crash := range c.CrashIDs() {
		g.suspects.Exonerate(crash.Upstream, crash.At)
	}
	g.relay.CancelBeginning(c.Part)
}
