package daemon

import (
	"fmt"
	"time"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/keeper"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

const (
	// catchUpWindow is how long after its time a run that wasn't submitted, for example
	// because of an outage, is still submitted.
	catchUpWindow    = clock.Day
	calendarInterval = 5 * clock.Second
	runTimeLayout    = "2006-01-02t15"
)

// submitDueRuns submits the runs of jobs that their calendars make due. Each task is
// submitted by the daemon that owns the home shard of its key; submitting the same key
// twice has no effect.
func (c *core) submitDueRuns(now clock.Millis) {
	if c.ledger == nil || c.unreadStream() != "" || now < c.calendarCheckedAt.Add(calendarInterval) {
		return
	}
	c.calendarCheckedAt = now
	for _, j := range c.state.BatchJobs() {
		from := max(now-catchUpWindow, c.declaredAt(j))
		for _, at := range j.Calendar.Occurrences(from, now+1, c.ledger.Zone()) {
			c.submitRun(now, j, at)
		}
	}
}

// declaredAt returns when a job's present declaration came into force, or 0 if that isn't
// in the audit trail. Runs due before that are not submitted.
func (c *core) declaredAt(j declarer.BatchJob) clock.Millis {
	version := c.state.Get(declarer.KindBatchJob, j.Name).Version()
	for _, e := range c.d.trail.EntriesFrom(provider.Offset(version-1), 1) {
		if e.GetOffset() == version-1 {
			return clock.Millis(e.GetAtMillis())
		}
	}
	return 0
}

func (c *core) submitRun(now clock.Millis, j declarer.BatchJob, at clock.Millis) {
	run := RunKey(j.Name, at, c.ledger.Zone())
	for n := range j.Tasks {
		key := TaskKey(run, n, j.Tasks)
		home := keeper.HomeOf(c.state, key)
		if s, own := c.shards[home]; !own || s.epoch < 0 || c.homeShard(key) != "" {
			continue
		}
		i := newIntent(j, key, home, nil)
		i.TaskIndex = int32(n)
		if j.Deadline > 0 {
			i.DeadlineMillis = int64(at.Add(j.Deadline))
		}
		c.enqueueRecord(now, provider.StreamIntents, &schema.Record{
			Id: "calendar/" + key, AtMillis: int64(now), Daemon: c.d.settings.Name,
			Body: &schema.Record_Intent{Intent: i},
		})
	}
}

// RunKey returns the key of the run of a job at a time of its calendar.
func RunKey(job string, at clock.Millis, zone *time.Location) string {
	return job + "@" + at.Time().In(zone).Format(runTimeLayout)
}

// TaskKey returns the key of task n of a run. If the run has a single task, it is the
// run's key.
func TaskKey(run string, n, tasks int) string {
	if tasks <= 1 {
		return run
	}
	return fmt.Sprintf("%s.%d", run, n)
}

func newIntent(j declarer.BatchJob, key, home string, payload []byte) *schema.Intent {
	return &schema.Intent{
		Key: key, Team: j.Team, Job: j.Name, Shard: home, Payload: payload,
		Idempotent: j.Idempotent, ExclusiveKey: j.ExclusiveKey,
	}
}
