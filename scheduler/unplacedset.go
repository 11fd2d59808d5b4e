package scheduler

type (
	// unplacedSet holds the requirements of tasks that found no worker in a round of
	// placing, so that tasks with the same or larger requirements are not tried in that
	// round.
	unplacedSet struct {
		smallest map[requirementKey]resourceSize
	}

	requirementKey struct {
		service, label, image string
		filler                bool
	}

	resourceSize struct {
		cpu, memory, gpu int64
	}
)

func requirementsOf(j *Spec, step int) (requirementKey, resourceSize) {
	s := &j.Steps[step]
	k := requirementKey{service: j.Queue.Service, label: s.Label, filler: s.Filler}
	if s.Filler {
		k.image = s.Image
	}
	return k, resourceSize{s.CPU, s.Memory, s.GPU}
}

// add adds the requirements of a step whose task found no worker. It skips steps with
// placement constraints of their own (a bound on tasks per worker, gangs, long-running
// tasks, policies): that they were not placed doesn't rule out other steps.
func (m *unplacedSet) add(j *Spec, step int) {
	if s := &j.Steps[step]; s.PerWorker > 0 || s.Gang || s.LongRunning || j.Queue.Advice != nil {
		return
	}
	if m.smallest == nil {
		m.smallest = map[requirementKey]resourceSize{}
	}
	k, size := requirementsOf(j, step)
	if old, ok := m.smallest[k]; !ok || size.fitsIn(old) {
		m.smallest[k] = size
	}
}

// covers reports whether a task of a step needs at least as much as one that found no
// worker.
func (m *unplacedSet) covers(j *Spec, step int) bool {
	if j.Steps[step].LongRunning || j.Queue.Advice != nil {
		return false
	}
	k, size := requirementsOf(j, step)
	old, ok := m.smallest[k]
	return ok && old.fitsIn(size)
}

func (s resourceSize) fitsIn(o resourceSize) bool {
	return s.cpu <= o.cpu && s.memory <= o.memory && s.gpu <= o.gpu
}
