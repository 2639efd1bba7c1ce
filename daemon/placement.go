package daemon

import (
	"context"

	"spanrill/coordination/lease"
	"spanrill/coordination/placement"
	"spanrill/protocol/peermsg"
	"spanrill/state/config"
	"spanrill/task"
)

// maxContenders is the number of daemons of a site that try to take its placement lease.
const maxContenders = 3

// runPlacement contends for the placement lease of this daemon's site, and runs the placer.
func (d *Daemon) runPlacement(ctx context.Context) error {
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
	leaseName := "placement/" + site.Name
	l := lease.New(d.platform, d.clock, leaseName, d.settings.Name, lease.WithLogger(d.log),
		lease.WithCandidate(func() bool { return d.isLeaseCandidate(leaseName, site) }))
	d.lease.Store(l)
	p := placement.New(l, d.engines, d.table, d.clock, d.placementSite, placement.WithLogger(d.log))
	var tasks task.Group
	tasks.Start(ctx, "lease", l.Run)
	tasks.Start(ctx, "placer", p.Run)
	return tasks.Wait()
}

// isLeaseCandidate reports whether this daemon is one of maxContenders in the site, and not stopping.
func (d *Daemon) isLeaseCandidate(leaseName string, site *config.Site) bool {
	return !d.draining.Load() && d.peers.list.OwnsAmong(leaseName, maxContenders, func(m peermsg.Member) bool {
		return site.HasZone(m.Zone)
	})
}

// placementSite returns this daemon's site in the form that the placer uses, or nil if its zone
// belongs to none.
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
