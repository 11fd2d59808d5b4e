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
	// callWindow is how far back runs are looked for that nobody called yet,
	// such as those of an outage.
	callWindow = clock.Day
	callPeriod = 5 * clock.Second
	dateForm   = "2006-01-02t15"
)

// callJobs submits the runs of jobs whose time by their calendar has come. The
// daemons that own the home of a run's key submit it; its key makes a second
// submission of no effect.
func (c *core) callJobs(now clock.Millis) {
	if c.ledger == nil || c.missing() != "" || now < c.calledUntil.Add(callPeriod) {
		return
	}
	c.calledUntil = now
	for _, j := range c.state.BatchJobs() {
		from := max(now-callWindow, c.declaredAt(j))
		for _, at := range j.Calendar.Occurrences(from, now+1, c.ledger.Zone()) {
			c.callRun(now, j, at)
		}
	}
}

// declaredAt gives when a job's declaration came into force: runs before that
// are not made up for.
func (c *core) declaredAt(j declarer.BatchJob) clock.Millis {
	version := c.state.Get(declarer.KindBatchJob, j.Name).Version()
	for _, e := range c.d.trail.From(provider.Offset(version-1), 1) {
		if e.GetOffset() == version-1 {
			return clock.Millis(e.GetAtMillis())
		}
	}
	return 0
}

func (c *core) callRun(now clock.Millis, j declarer.BatchJob, at clock.Millis) {
	run := RunKey(j.Name, at, c.ledger.Zone())
	for n := range j.Tasks {
		key := TaskKey(run, n, j.Tasks)
		home := keeper.HomeOf(c.state, key)
		if s, own := c.shards[home]; !own || s.epoch < 0 || c.home(key) != "" {
			continue
		}
		i := intentOf(j, key, home, nil)
		i.TaskIndex = int32(n)
		if j.Deadline > 0 {
			i.DeadlineMillis = int64(at.Add(j.Deadline))
		}
		c.journalise(now, provider.StreamIntents, &schema.Record{
			Id: "calendar/" + key, AtMillis: int64(now), Daemon: c.d.settings.Name,
			Body: &schema.Record_Intent{Intent: i},
		})
	}
}

// RunKey gives the key of a job's run at a time of its calendar.
func RunKey(job string, at clock.Millis, zone *time.Location) string {
	return job + "@" + at.Time().In(zone).Format(dateForm)
}

// TaskKey gives the key of one of the tasks of a run; a run of one task has the
// run's key.
func TaskKey(run string, n, tasks int) string {
	if tasks <= 1 {
		return run
	}
	return fmt.Sprintf("%s.%d", run, n)
}

func intentOf(j declarer.BatchJob, key, home string, payload []byte) *schema.Intent {
	return &schema.Intent{
		Key: key, Team: j.Team, Job: j.Name, Shard: home, Payload: payload,
		Idempotent: j.Idempotent, ExclusiveKey: j.ExclusiveKey,
	}
}
