package declarer

import (
	"bytes"
	"slices"

	"galenawharf.example/galenawharf/schema"
)

type (
	// Step is one difference between the declarations in force and those
	// that are wanted.
	Step struct {
		key    Key
		before Item
		after  Item
	}
)

// Key gives the declaration that changes.
func (s Step) Key() Key { return s.key }

// Before gives the declaration in force; its version is 0 for a new one.
func (s Step) Before() Item { return s.before }

// After gives the wanted declaration.
func (s Step) After() Item { return s.after }

// Deletes tells whether the declaration is no longer wanted.
func (s Step) Deletes() bool { return s.after.document == nil }

// Plan gives what has to change for the wanted declarations to be in force.
// With prune, declarations in force that are not wanted are deleted; drains
// are left alone.
func Plan(have, wanted []Item, prune bool) []Step {
	befores := map[Key]Item{}
	for _, i := range have {
		befores[i.key] = i
	}
	var steps []Step
	kept := map[Key]bool{}
	for _, w := range wanted {
		kept[w.key] = true
		b := befores[w.key]
		if !bytes.Equal(b.document, w.document) {
			steps = append(steps, Step{key: w.key, before: b, after: w})
		}
	}
	if !prune {
		return steps
	}
	for _, h := range have {
		if !kept[h.key] && h.key.kind != KindDrain {
			steps = append(steps, Step{key: h.key, before: h})
		}
	}
	return steps
}

// ChangeOf gives the change that carries out steps, which is refused where
// another change came between.
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
