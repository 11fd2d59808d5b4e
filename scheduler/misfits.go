package scheduler

type (
	// misfits remembers which tasks found no worker in a round of placing, so that
	// others like them, or larger ones, are not tried in vain.
	misfits struct {
		seen map[misfitKey]misfitSize
	}

	misfitKey struct {
		service, label, image string
		filler                bool
	}

	misfitSize struct {
		cpu, memory, gpu int64
	}
)

func keyOf(j *Spec, step int) (misfitKey, misfitSize) {
	s := &j.Steps[step]
	k := misfitKey{service: j.Queue.Service, label: s.Label, filler: s.Filler}
	if s.Filler {
		k.image = s.Image
	}
	return k, misfitSize{s.CPU, s.Memory, s.GPU}
}

// note takes in that a task found no worker. Steps with a bound on their tasks a
// worker say nothing about others.
func (m *misfits) note(j *Spec, step int) {
	if s := &j.Steps[step]; s.PerWorker > 0 || s.Gang || s.LongRunning || j.Queue.Advice != nil {
		return
	}
	if m.seen == nil {
		m.seen = map[misfitKey]misfitSize{}
	}
	k, size := keyOf(j, step)
	if old, ok := m.seen[k]; !ok || size.within(old) {
		m.seen[k] = size
	}
}

// covers reports whether a task is at least as large as one that found no worker.
func (m *misfits) covers(j *Spec, step int) bool {
	if j.Steps[step].LongRunning || j.Queue.Advice != nil {
		return false
	}
	k, size := keyOf(j, step)
	old, ok := m.seen[k]
	return ok && old.within(size)
}

func (s misfitSize) within(o misfitSize) bool {
	return s.cpu <= o.cpu && s.memory <= o.memory && s.gpu <= o.gpu
}
