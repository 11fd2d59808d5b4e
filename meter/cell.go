package meter

import (
	"cmp"
	"strings"
)

type (
	// Cell is the key by which usage is summed: data centre, team and workload.
	Cell struct {
		dataCentre string
		team       string
		workload   string
	}
)

// NewCell returns the cell of a team's workload in a data centre.
func NewCell(dataCentre, team, workload string) Cell {
	return Cell{dataCentre: dataCentre, team: team, workload: workload}
}

// DataCentre returns the data centre's name.
func (c Cell) DataCentre() string { return c.dataCentre }

// Team returns the team's name.
func (c Cell) Team() string { return c.team }

// Workload returns the name of the service, watch job or batch job.
func (c Cell) Workload() string { return c.workload }

// Compare orders cells by data centre, team and workload, as cmp.Compare does.
func (c Cell) Compare(d Cell) int {
	return cmp.Or(cmp.Compare(c.dataCentre, d.dataCentre), cmp.Compare(c.team, d.team), cmp.Compare(c.workload, d.workload))
}

// DataCentreOf returns the data centre of a shard, which is named
// "<data centre>/<number>".
func DataCentreOf(shard string) string {
	dc, _, _ := strings.Cut(shard, "/")
	return dc
}
