package meter

import (
	"cmp"
	"strings"
)

type (
	// Cell is what sums are kept by.
	Cell struct {
		dataCentre string
		team       string
		work       string
	}
)

// NewCell gives the cell of a team's work in a data centre.
func NewCell(dataCentre, team, work string) Cell {
	return Cell{dataCentre: dataCentre, team: team, work: work}
}

// DataCentre gives the data centre.
func (c Cell) DataCentre() string { return c.dataCentre }

// Team gives the team.
func (c Cell) Team() string { return c.team }

// Work gives the service or job.
func (c Cell) Work() string { return c.work }

// Compare orders cells by data centre, team and work.
func (c Cell) Compare(d Cell) int {
	return cmp.Or(cmp.Compare(c.dataCentre, d.dataCentre), cmp.Compare(c.team, d.team), cmp.Compare(c.work, d.work))
}

// DataCentreOf gives the data centre of a shard, "<data centre>/<number>".
func DataCentreOf(shard string) string {
	dc, _, _ := strings.Cut(shard, "/")
	return dc
}
