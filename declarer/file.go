package declarer

import (
	"fmt"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/decoder"
)

type (
	// File is a file of declarations, as operators keep it in version control.
	File struct {
		Operators   []Operator   `json:"operators"`
		DataCentres []DataCentre `json:"data-centres"`
		Teams       []Team       `json:"teams"`
		Services    []Service    `json:"services"`
		BatchJobs   []BatchJob   `json:"batch-jobs"`
		WatchJobs   []WatchJob   `json:"watch-jobs"`
		Prices      []Price      `json:"prices"`
	}

	// collector gathers the items of a file and the errors in them.
	collector struct {
		items  []Item
		faults coder.Errors
		seen   map[Key]bool
	}
)

// ParseFile parses a file of declarations and returns its items with defaults set, and
// every error that can be found without the declarations in force. If there
// are errors, the items are incomplete.
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

// collect adds the declarations under one key of the file. A second declaration of a
// kind and name is an error.
func collect[T declaration](c *collector, k Kind, list string, values []T) {
	for n, v := range values {
		path := fmt.Sprintf("$.%s[%d]", list, n)
		filled, faults := setDefaultsAndValidate(v, path)
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
