package daemon

import (
	"context"

	"spanrill/coordination/lease"
	"spanrill/coordination/placement"
	"spanrill/protocol/peermsg"
	"spanrill/state/config"
	"spanrill/task"
)

// placementContenders is how many daemons of a site try to take its lease.
const placementContenders = 3

// place takes part in the placement of this daemon's site.
func (d *Daemon) place(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-d.follower.Ready():
	}
	site := d.follower.Current().SiteOf(d.settings.Zone)
	if site == nil || !d.settings.Placement {
		<-ctx.Done()
		return ctx.Err()
	}
	duty := "placement/" + site.Name
	l := lease.New(d.platform, d.clock, duty, d.settings.Name, lease.WithLogger(d.log),
		lease.WithCandidate(func() bool { return d.contends(duty, site) }))
	d.lease.Store(l)
	p := placement.New(l, d.engines, d.table, d.clock, d.placementSite, placement.WithLogger(d.log))
	var tasks task.Group
	tasks.Start(ctx, "lease", l.Run)
	tasks.Start(ctx, "placer", p.Run)
	return tasks.Wait()
}

func (d *Daemon) contends(duty string, site *config.Site) bool {
	return !d.draining.Load() && d.peers.list.OwnsAmong(duty, placementContenders, func(m peermsg.Member) bool {
		return site.HasZone(m.Zone)
	})
}

// placementSite returns this daemon's site as its placer sees it.
func (d *Daemon) placementSite() *placement.Site {
	snapshot := d.follower.Current()
	site := snapshot.SiteOf(d.settings.Zone)
	if site == nil {
		return nil
	}
	s := &placement.Site{HasZone: site.HasZone, ChecksFence: site.ChecksFences}
	for name, priority := range snapshot.ModelsAt(site.Name) {
		m := snapshot.Model(name)
		s.Models = append(s.Models, placement.Model{
			Name: m.Name, Version: m.Version, Layers: m.Layers, Priority: priority,
		})
	}
	return s
}
