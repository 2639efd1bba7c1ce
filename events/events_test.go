package events

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// docs/EVENTS.md has exactly one row for each event.
func TestCatalogueIsDocumented(t *testing.T) {
	data, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	rows := map[string]bool{}
	for _, line := range strings.Split(string(data), "\n") {
		if cells := strings.Split(line, "|"); len(cells) > 4 && strings.TrimSpace(cells[1]) != "" {
			rows[strings.TrimSpace(cells[1])+"|"+strings.TrimSpace(cells[2])+"|"+strings.TrimSpace(cells[3])] = true
		}
	}
	seen := map[int]bool{}
	for _, e := range All() {
		if seen[e.Number()] {
			t.Errorf("two events have the number %d", e.Number())
		}
		seen[e.Number()] = true
		row := fmt.Sprintf("%d|%s|%s", e.Number(), e.Level(), e.Text())
		if !rows[row] {
			t.Errorf("docs/EVENTS.md lacks the row %s", row)
		}
		delete(rows, row)
	}
	for row := range rows {
		if row[0] >= '0' && row[0] <= '9' {
			t.Errorf("docs/EVENTS.md has the row %s, which no event has", row)
		}
	}
}
