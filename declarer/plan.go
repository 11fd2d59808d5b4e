package declarer

import (
	"bytes"
	"slices"

	"galenawharf.example/galenawharf/schema"
)

type (
	// Step is one declaration to add, change or delete.
	Step struct {
		key    Key
		before Item
		after  Item
	}
)

// Key returns the key of the declaration.
func (s Step) Key() Key { return s.key }

// Before returns the declaration in force. Its version is 0 if there is none.
func (s Step) Before() Item { return s.before }

// After returns the desired declaration. Its document is nil if the step deletes it.
func (s Step) After() Item { return s.after }

// Deletes reports whether the step deletes the declaration.
func (s Step) Deletes() bool { return s.after.document == nil }

// Plan returns the steps from the current to the desired declarations. With prune,
// current declarations that are not desired are deleted. Drains are kept, since operators
// set them with commands of their own and not in files.
func Plan(current, desired []Item, prune bool) []Step {
	currentByKey := map[Key]Item{}
	for _, i := range current {
		currentByKey[i.key] = i
	}
	var steps []Step
	desiredKeys := map[Key]bool{}
	for _, w := range desired {
		desiredKeys[w.key] = true
		b := currentByKey[w.key]
		if !bytes.Equal(b.document, w.document) {
			steps = append(steps, Step{key: w.key, before: b, after: w})
		}
	}
	if !prune {
		return steps
	}
	for _, h := range current {
		if !desiredKeys[h.key] && h.key.kind != KindDrain {
			steps = append(steps, Step{key: h.key, before: h})
		}
	}
	return steps
}

// ChangeOf returns the change that applies the steps. It expects the versions of the
// items in the steps (optimistic concurrency control), so it is refused if another
// change to one of them was accepted since.
func ChangeOf(operator string, steps []Step) *schema.Change {
	c := &schema.Change{Operator: operator}
	for _, s := range steps {
		c.Items = append(c.Items, &schema.ChangeItem{
			Kind:            string(s.key.kind),
			Name:            s.key.name,
			ExpectedVersion: s.before.version,
			Delete:          s.Deletes(),
			Document:        slices.Clone(s.after.document),
		})
	}
	return c
}
