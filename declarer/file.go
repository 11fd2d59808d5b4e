package declarer

import (
	"fmt"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/decoder"
)

type (
	// File is a file of declarations as it stands in version control.
	File struct {
		Operators   []Operator   `json:"operators"`
		DataCentres []DataCentre `json:"data-centres"`
		Teams       []Team       `json:"teams"`
		Services    []Service    `json:"services"`
		BatchJobs   []BatchJob   `json:"batch-jobs"`
		WatchJobs   []WatchJob   `json:"watch-jobs"`
		Prices      []Price      `json:"prices"`
	}

	collector struct {
		items  []Item
		faults coder.Errors
		seen   map[Key]bool
	}
)

// ParseFile reads a file of declarations, fills defaults and gives its items,
// or every fault that the file has by itself.
func ParseFile(data []byte) ([]Item, coder.Errors) {
	var f File
	faults := decoder.Unmarshal(data, &f)
	if len(faults) > 0 {
		return nil, faults
	}
	c := &collector{seen: map[Key]bool{}}
	collect(c, KindOperator, "operators", f.Operators)
	collect(c, KindDataCentre, "data-centres", f.DataCentres)
	collect(c, KindTeam, "teams", f.Teams)
	collect(c, KindService, "services", f.Services)
	collect(c, KindBatchJob, "batch-jobs", f.BatchJobs)
	collect(c, KindWatchJob, "watch-jobs", f.WatchJobs)
	collect(c, KindPrice, "prices", f.Prices)
	return c.items, c.faults
}

func collect[T declaration](c *collector, k Kind, list string, values []T) {
	for n, v := range values {
		path := fmt.Sprintf("$.%s[%d]", list, n)
		filled, faults := finish(v, path)
		c.faults = append(c.faults, faults...)
		i := newItem(k, filled)
		if c.seen[i.key] {
			c.faults = append(c.faults, coder.At(coder.Duplicate, path+".name", "%s is declared twice", i.key))
			continue
		}
		c.seen[i.key] = true
		c.items = append(c.items, i)
	}
}
