package fleet

import (
	"context"

	"spanrill"
)

// observed is engines whose reports the table sees.
type observed struct {
	spanrill.LayerEngines
	table *Table
}

// Observe returns the engines such that the table sees every report that they make.
func (t *Table) Observe(engines spanrill.LayerEngines) spanrill.LayerEngines {
	return observed{LayerEngines: engines, table: t}
}

// Report asks an engine for its state.
func (o observed) Report(ctx context.Context, addr string) (spanrill.EngineReport, error) {
	sent := o.table.clock.Now()
	report, err := o.LayerEngines.Report(ctx, addr)
	if err == nil {
		o.table.Reported(addr, &report, sent)
	}
	return report, err
}
