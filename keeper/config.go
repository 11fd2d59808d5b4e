package keeper

import (
	"strings"

	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/placer"
	"galenawharf.example/galenawharf/schema"
)

// SetConfig replaces the declared configuration.
func (k *Keeper) SetConfig(s *declarer.State) {
	if s == k.config {
		return
	}
	k.config = s
	k.loadSpecs()
	k.updateReplicas()
	for _, h := range k.sortedHosts {
		h.stale = true
	}
	for _, t := range k.tasks {
		k.updateSpec(t)
		k.enqueue(t)
	}
	was := k.drained
	k.drained = s.DataCentreDrained(k.dataCentre)
	if !was && k.drained {
		k.drainedAt = k.now
	}
	if was && !k.drained {
		k.ramp.begin(k.now)
	}
	k.nextSubmitAt = 0
}

func (k *Keeper) loadSpecs() {
	clear(k.specs)
	for _, s := range k.config.Services() {
		k.specs[declarer.KeyOf(declarer.KindService, s.Name)] = &spec{
			team: s.Team, work: s.Name, class: s.Class, kind: placer.Service,
			size: s.Size.Size(), priority: s.Priority, idempotent: true,
		}
	}
	for _, b := range k.config.BatchJobs() {
		kind := placer.Batch
		if b.ExclusiveKey != "" || !b.Idempotent {
			kind = placer.Exclusive
		}
		k.specs[declarer.KeyOf(declarer.KindBatchJob, b.Name)] = &spec{
			team: b.Team, work: b.Name, class: b.Class, kind: kind,
			size: b.Size.Size(), priority: b.Priority, runTime: b.RunTime,
			checkpointInterval: b.CheckpointInterval, idempotent: b.Idempotent,
		}
	}
	for _, w := range k.config.WatchJobs() {
		k.specs[declarer.KeyOf(declarer.KindWatchJob, w.Name)] = &spec{
			team: w.Team, work: w.Name, class: w.Class, kind: placer.Watch,
			size: w.Size.Size(), priority: w.Priority, checkpointInterval: w.Period, idempotent: true,
		}
	}
}

// updateSpec looks up the declaration of a task's job. If the job is no longer declared,
// the task keeps its last declaration and stays wanted, unless it is a watch job.
func (k *Keeper) updateSpec(t *task) {
	if t.intent == nil {
		return
	}
	name := t.intent.GetJob()
	if s, known := k.specs[declarer.KeyOf(declarer.KindWatchJob, name)]; known {
		t.spec = s
		t.wanted = true
		return
	}
	if s, known := k.specs[declarer.KeyOf(declarer.KindBatchJob, name)]; known {
		t.spec = s
		t.wanted = true
		return
	}
	t.wanted = !strings.HasPrefix(t.id, prefixWatch)
}

// updateReplicas adds the service replicas that belong to this shard and marks all others
// as no longer wanted.
func (k *Keeper) updateReplicas() {
	wanted := map[string]bool{}
	for _, s := range k.config.Services() {
		sp := k.specs[declarer.KeyOf(declarer.KindService, s.Name)]
		for n := range s.Replicas {
			if homeOfReplica(k.config, s.Name, n) != k.shard {
				continue
			}
			id := replicaName(s.Name, n)
			wanted[id] = true
			t := k.replicaTask(id)
			t.spec = sp
			t.wanted = true
		}
	}
	for id, t := range k.tasks {
		if t.isService() && !wanted[id] {
			t.wanted = false
		}
	}
}

// replicaTask returns the task of a service replica, adding it if it is new.
func (k *Keeper) replicaTask(id string) *task {
	t, known := k.tasks[id]
	if !known {
		t = &task{id: id, state: stateWaiting, submittedAt: k.now}
		k.tasks[id] = t
		k.waiting[id] = t
	}
	return t
}

// submitWatchJobs submits the watch jobs that no shard owns yet. Several keepers may
// submit the same one; the first submission in the log wins.
func (k *Keeper) submitWatchJobs() {
	if k.now < k.nextSubmitAt {
		return
	}
	k.nextSubmitAt = k.now + watchSubmitInterval
	for _, w := range k.config.WatchJobs() {
		key := prefixWatch + w.Name
		if _, known := k.register.Home(key); known || HomeOf(k.config, key) != k.shard {
			continue
		}
		k.appendRecord(intentsStream, &schema.Record{Body: &schema.Record_Intent{Intent: &schema.Intent{
			Key: key, Team: w.Team, Job: w.Name, Shard: k.shard, Idempotent: true, ExclusiveKey: key,
		}}})
	}
}
