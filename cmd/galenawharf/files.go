package main

import (
	"os"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
)

// readDeclarations parses files of declarations and returns their items. Its error is a
// coder.Errors with every parse error in the files and every item that two files declare,
// or a coder.Error if a file can't be read.
func readDeclarations(files []string) ([]declarer.Item, error) {
	if len(files) == 0 {
		return nil, coder.At(coder.Usage, "--file", "give at least one file of declarations")
	}
	var items []declarer.Item
	var faults coder.Errors
	seen := map[declarer.Key]string{}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return nil, coder.New(coder.NotFound, "%v", err)
		}
		parsed, fileFaults := declarer.ParseFile(data)
		faults = append(faults, fileFaults.WithRoot(f+": $")...)
		for _, i := range parsed {
			if other, exists := seen[i.Key()]; exists {
				faults = append(faults, coder.At(coder.Duplicate, f, "%s is also declared in %s", i.Key(), other))
			}
			seen[i.Key()] = f
		}
		items = append(items, parsed...)
	}
	return items, faults.Err()
}
