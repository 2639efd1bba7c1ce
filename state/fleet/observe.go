package fleet

import (
	"context"

	"spanrill"
)

// observedEngines passes the reports of engines to a table.
type observedEngines struct {
	spanrill.LayerEngines
	table *Table
}

// Observe wraps engines so that the table handles every report requested from them.
func (t *Table) Observe(engines spanrill.LayerEngines) spanrill.LayerEngines {
	return observedEngines{LayerEngines: engines, table: t}
}

// Report requests an engine's report and passes it to the table.
func (o observedEngines) Report(ctx context.Context, addr string) (spanrill.EngineReport, error) {
	sent := o.table.clock.Now()
	report, err := o.LayerEngines.Report(ctx, addr)
	if err == nil {
		o.table.HandleReport(addr, &report, sent)
	}
	return report, err
}
