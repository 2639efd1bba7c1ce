package gateway

import (
	"cmp"
	"encoding/json"
	"slices"

	"github.com/valyala/fasthttp"

	"spanrill"
	"spanrill/protocol/peermsg"
)

// PathsPath is the path of the page about lost network paths on the metrics listener.
const PathsPath = "/paths"

// PathsPage is the page at PathsPath.
type PathsPage struct {
	Daemon  string     `json:"daemon"`  // that made the page
	Tunnels int        `json:"tunnels"` // connections to upstreams that it keeps for others
	Lost    []LostPath `json:"lost"`    // of this daemon and of those whose news it gets, sorted
	Daemons int        `json:"daemons"` // covered by the counts, this one included
	// Counts is how many daemons have lost their path by service, without services that none has lost.
	Counts map[string]int `json:"counts"`
}

// LostPath is a service to whose upstreams a daemon has lost its network path.
type LostPath struct {
	Daemon  string          `json:"daemon"`
	Service string          `json:"service"`
	For     spanrill.Millis `json:"for_ms"` // when the daemon said so
	Helped  map[string]int  `json:"helped"` // connections since then by the daemon that made them
	Denied  int             `json:"denied"` // daemons that answered since then that they cannot help
}

// pathsPage returns the page about lost network paths.
func (g *Gateway) pathsPage() *PathsPage {
	page := &PathsPage{Daemon: g.peers.name, Tunnels: g.openTunnels(), Lost: []LostPath{}}
	page.Counts, page.Daemons = g.exchange.LostCounts()
	add := func(daemon string, lost []peermsg.LostPath) {
		for _, p := range lost {
			page.Lost = append(page.Lost, LostPath{Daemon: daemon, Service: p.Service, For: p.For, Helped: p.Helped, Denied: p.Denied})
		}
	}
	add(g.peers.name, g.lostPaths())
	for peer, lost := range g.exchange.PeerLostPaths() {
		add(peer, lost)
	}
	slices.SortFunc(page.Lost, func(a, b LostPath) int {
		return cmp.Or(cmp.Compare(a.Daemon, b.Daemon), cmp.Compare(a.Service, b.Service))
	})
	return page
}

// servePathsPage answers with the page about lost network paths.
func (g *Gateway) servePathsPage(c *fasthttp.RequestCtx) {
	body, err := json.Marshal(g.pathsPage())
	if err != nil {
		c.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
