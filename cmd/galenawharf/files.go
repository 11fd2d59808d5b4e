package main

import (
	"os"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
)

// declared reads files of declarations together and gives every fault of each.
func declared(files []string) ([]declarer.Item, error) {
	if len(files) == 0 {
		return nil, coder.At(coder.Usage, "--file", "name at least one file of declarations")
	}
	var items []declarer.Item
	var faults coder.Errors
	seen := map[declarer.Key]string{}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, coder.New(coder.NotFound, "%v", err)
		}
		part, bad := declarer.ParseFile(data)
		faults = append(faults, bad.WithRoot(f+": $")...)
		for _, i := range part {
			if other, twice := seen[i.Key()]; twice {
				faults = append(faults, coder.At(coder.Duplicate, f, "%s is also declared in %s", i.Key(), other))
			}
			seen[i.Key()] = f
		}
		items = append(items, part...)
	}
	return items, faults.Err()
}
