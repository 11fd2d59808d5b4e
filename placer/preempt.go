package placer

import (
	"cmp"
	"slices"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

// preemptLooks bounds the workers that are looked at for victims.
const preemptLooks = 64

// preempt gives the worker on which room for an urgent task costs the least
// lost work, and the batch tasks to evict there.
func (p *Placer) preempt(r *round, w *want) (*entry, []string) {
	var best *entry
	var victims []string
	lowest, looks := 0.0, 0
	for b := buckets - 1; b >= 0 && looks < preemptLooks; b-- {
		for _, shelf := range [...][]*entry{p.index.plain[b], p.index.special[b]} {
			for _, e := range shelf[:min(len(shelf), preemptLooks-looks)] {
				looks++
				names, lost, ok := p.victims(r, w, e)
				if ok && (best == nil || lost < lowest || lost == lowest && e.worker.name < best.worker.name) {
					best, victims, lowest = e, names, lost
				}
			}
		}
	}
	for _, v := range victims {
		r.evicted[v] = true
	}
	return best, victims
}

// victims gives the batch tasks whose room is enough for an urgent task, those
// that lose least first, and the core-seconds that are lost.
func (p *Placer) victims(r *round, w *want, e *entry) ([]string, float64, bool) {
	if e.worker.closed || !w.need.Fits(e.worker.capacity) || p.mechanisms.has(Quarantine) && !p.sound(r.now, w, e) {
		return nil, 0, false
	}
	var batch []Task
	for _, t := range e.worker.residents {
		if t.kind == Batch && !r.evicted[t.id] {
			batch = append(batch, t)
		}
	}
	p.sortVictims(r.now, batch)
	free, lost := e.free, 0.0
	var names []string
	for _, t := range batch {
		if w.need.Fits(free) {
			break
		}
		if !helps(t.size, w.need, free) {
			continue
		}
		free = free.Add(t.size)
		lost += t.lost(r.now) + evictionCost
		names = append(names, t.id)
	}
	return names, lost, w.need.Fits(free)
}

// evictionCost is in core-seconds.
const evictionCost = 10

func (p *Placer) sortVictims(now clock.Millis, batch []Task) {
	slices.SortFunc(batch, func(a, b Task) int {
		x, y := p.sharer.Borrows(a.team), p.sharer.Borrows(b.team)
		if x != y {
			if x {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.lost(now)/coresOf(a.size), b.lost(now)/coresOf(b.size)), cmp.Compare(a.id, b.id))
	})
}

// helps tells whether a task holds any of what is short.
func helps(size, need, free sizer.Size) bool {
	return need.Millicores() > free.Millicores() && size.Millicores() > 0 ||
		need.MemoryBytes() > free.MemoryBytes() && size.MemoryBytes() > 0 ||
		need.Accelerators() > free.Accelerators() && size.Accelerators() > 0
}
