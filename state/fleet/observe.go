package fleet

import (
	"context"

	"spanrill"
)

// wrappedEngines passes the reports of engines to a table.
type wrappedEngines struct {
	spanrill.LayerEngines
	table *Table
}

// WrapEngines wraps engines so that the table handles every report requested from them.
func (t *Table) WrapEngines(engines spanrill.LayerEngines) spanrill.LayerEngines {
	return wrappedEngines{LayerEngines: engines, table: t}
}

// Report requests an engine's report and passes it to the table.
func (o wrappedEngines) Report(ctx context.Context, addr string) (spanrill.EngineReport, error) {
	sentAt := o.table.clock.Now()
	report, err := o.LayerEngines.Report(ctx, addr)
	if err == nil {
		o.table.HandleReport(addr, &report, sentAt)
	}
	return report, err
}
