package daemon

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/keeper"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

type (
	// keyLocation is the home shard of a key, as far as the submissions read so far show
	// it.
	keyLocation struct {
		// home is the shard that owns the key, "" if the key is unknown.
		home string
		// readUntil is the time up to which all submissions have been read.
		readUntil clock.Millis
	}
)

const (
	// remotePollInterval is how often to poll for the outcome of work whose home is
	// another data centre.
	remotePollInterval = 500 * clock.Millis(1)

	// multipleTasks stands for any number of tasks above one, for which TaskKey numbers
	// the keys.
	multipleTasks = 2
)

// submit writes work to the log under its key and waits for its end, for at most the wait
// that the caller requested. If a key is submitted repeatedly, the first submission in the log
// wins.
func (d *Daemon) submit(ctx context.Context, r *schema.SubmitRequest) *schema.Answer {
	if e := d.notServing(); e != nil {
		return refusal(r.GetKey(), e, d.settings.Timing.Heartbeat)
	}
	d.beginRequest()
	defer d.endRequest()
	job, e := d.checkSubmission(r)
	if e != nil {
		return refusal(r.GetKey(), e, 0)
	}
	keys, err := queryCore(ctx, d, func(c *core) []string { return c.taskKeys(r.GetKey()) })
	if err != nil {
		return refusal(r.GetKey(), coder.New(coder.NotRun, "%v", err), d.settings.Timing.Heartbeat)
	}
	if len(keys) == 0 {
		if a := d.writeIntents(ctx, r, job); a != nil {
			return a
		}
	}
	return d.await(ctx, &schema.AwaitRequest{Key: r.GetKey(), WaitMillis: r.GetWaitMillis()})
}

// checkSubmission returns the job that a submission names, or why it can't be run.
func (d *Daemon) checkSubmission(r *schema.SubmitRequest) (declarer.BatchJob, *coder.Error) {
	s := d.state.Load()
	job, known := s.BatchJob(r.GetJob())
	switch {
	case !known:
		return job, coder.At(coder.UnknownName, "job", "no batch job %q is declared", r.GetJob())
	case job.Team != r.GetTeam():
		return job, coder.At(coder.UnknownName, "team", "job %q is not of team %q", r.GetJob(), r.GetTeam())
	case keeper.ReservedKey(r.GetKey()):
		return job, coder.At(coder.BadFormat, "key", "%q begins with a reserved word", r.GetKey())
	}
	return job, nil
}

// writeIntents writes the tasks of a submission to the log in one append. It returns nil,
// or the answer to the caller if that failed.
func (d *Daemon) writeIntents(ctx context.Context, r *schema.SubmitRequest, job declarer.BatchJob) *schema.Answer {
	records := make([]*schema.Record, 0, job.Tasks)
	for n := range job.Tasks {
		key := TaskKey(r.GetKey(), n, job.Tasks)
		home := keeper.HomeOf(d.state.Load(), key)
		if home == "" {
			return refusal(r.GetKey(), coder.New(coder.NotRun, "every data centre is drained"), clock.Minute)
		}
		i := newIntent(job, key, home, r.GetPayload())
		i.TaskIndex = int32(n)
		if r.GetTimeoutMillis() > 0 {
			i.DeadlineMillis = int64(d.now()) + r.GetTimeoutMillis()
		}
		records = append(records, &schema.Record{Body: &schema.Record_Intent{Intent: i}})
	}
	_, err := d.writeNew(ctx, provider.StreamIntents, records...)
	switch coder.Of(err) {
	case coder.OK:
		return nil
	case coder.LogDown, coder.ShuttingDown:
		return refusal(r.GetKey(), coder.New(coder.NotRun, "%v", err), d.settings.Timing.PlatformCall)
	}
	return refusal(r.GetKey(), coder.New(coder.Unknown, "%v: await the key", err), d.settings.Timing.PlatformCall)
}

// taskKeys returns the keys of the tasks that were submitted under a key: the key itself,
// or one for each task of a job with several; none if the key is unknown.
func (c *core) taskKeys(key string) []string {
	if c.homeShard(key) != "" {
		return []string{key}
	}
	var keys []string
	for n := 0; c.homeShard(TaskKey(key, n, multipleTasks)) != ""; n++ {
		keys = append(keys, TaskKey(key, n, multipleTasks))
	}
	return keys
}

// homeShard returns the home shard of a key, "" if the key is unknown.
func (c *core) homeShard(key string) string {
	home, _ := c.register.Home(key)
	return home
}

// await waits for the end of submitted work, for at most the wait of the request and the
// settings.
func (d *Daemon) await(ctx context.Context, r *schema.AwaitRequest) *schema.Answer {
	if !d.ready.Load() {
		return refusal(r.GetKey(), coder.New(coder.NotReady, "the daemon has just started and is not ready: ask another entry host"), d.settings.Timing.Heartbeat)
	}
	if d.inFlight.Load() > int64(d.settings.Limits.Waiters) {
		return refusal(r.GetKey(), coder.New(coder.Overloaded, "too many callers are waiting at this daemon"), clock.Second)
	}
	end := d.now().Add(min(clock.Millis(r.GetWaitMillis()), d.settings.Timing.Wait))
	if keys := d.taskKeys(ctx, r.GetKey()); len(keys) > 1 {
		return d.awaitAll(ctx, r.GetKey(), keys, end)
	}
	a := d.awaitOne(ctx, r, end)
	if a.GetResultCode() != int32(coder.NotFound) {
		return a
	}
	// The submission may have been read from the log meanwhile.
	if keys := d.taskKeys(ctx, r.GetKey()); len(keys) > 1 {
		return d.awaitAll(ctx, r.GetKey(), keys, end)
	}
	return a
}

func (d *Daemon) taskKeys(ctx context.Context, key string) []string {
	keys, err := queryCore(ctx, d, func(c *core) []string { return c.taskKeys(key) })
	if err != nil {
		return nil
	}
	return keys
}

// awaitAll waits for the end of every task of a submission. It returns the answer of the
// first task that didn't succeed or is pending, or else the answers of all tasks, one a
// line.
func (d *Daemon) awaitAll(ctx context.Context, key string, keys []string, end clock.Millis) *schema.Answer {
	var payloads [][]byte
	for n, k := range keys {
		a := d.awaitOne(ctx, &schema.AwaitRequest{Key: k}, end)
		if a.GetResultCode() != int32(coder.OK) {
			a.RequestId = key
			a.State = fmt.Sprintf("%s: task %d of %d, those before it ended well", a.GetState(), n+1, len(keys))
			return a
		}
		payloads = append(payloads, a.GetPayload())
	}
	return answer(key, int32(coder.OK), bytes.Join(payloads, []byte("\n")), "ended")
}

// awaitOne waits until end for the end of one task.
func (d *Daemon) awaitOne(ctx context.Context, r *schema.AwaitRequest, end clock.Millis) *schema.Answer {
	requestedAt := d.now()
	outcomes := make(chan keeper.Outcome, 1)
	defer d.post(func(c *core) { c.removeWaiter(r.GetKey(), outcomes) })
	for {
		location, err := queryCore(ctx, d, func(c *core) keyLocation { return c.addWaiter(r.GetKey(), outcomes) })
		if err != nil {
			return refusal(r.GetKey(), coder.New(coder.Unknown, "%v", err), d.settings.Timing.Heartbeat)
		}
		if location.home == "" {
			if a := d.answerUnknownKey(ctx, r.GetKey(), requestedAt, location); a != nil {
				return a
			}
			continue
		}
		a := d.endedAnswer(ctx, r.GetKey(), location.home, outcomes)
		if left := end.Sub(d.now()); a != nil || left <= 0 || d.leaving.Load() || !d.waitForOutcome(ctx, min(left, remotePollInterval), outcomes) {
			return finalOrPending(r.GetKey(), a)
		}
	}
}

func finalOrPending(key string, a *schema.Answer) *schema.Answer {
	if a != nil {
		return a
	}
	return &schema.Answer{RequestId: key, ResultCode: int32(coder.Pending), State: "pending", Reason: "the work has not ended yet: await its key", RetryAfterMillis: int64(clock.Second)}
}

// addWaiter registers a channel for the outcome of a key's work, sends it at once if the
// work has ended, and returns the key's location.
func (c *core) addWaiter(key string, outcomes chan keeper.Outcome) keyLocation {
	c.removeWaiter(key, outcomes)
	c.waiters[key] = append(c.waiters[key], outcomes)
	c.notifyWaiters(key)
	return keyLocation{home: c.homeShard(key), readUntil: c.fullReadStartedAt[provider.StreamIntents]}
}

// answerUnknownKey returns the answer for an unknown key: not found once all submissions
// up to the time of the request were read, unknown if the log can't be read. Until then
// it waits a tick and returns nil.
func (d *Daemon) answerUnknownKey(ctx context.Context, key string, requestedAt clock.Millis, location keyLocation) *schema.Answer {
	if location.readUntil > requestedAt {
		return refusal(key, coder.New(coder.NotFound, "no work was submitted under %q", key), 0)
	}
	if d.now() > requestedAt.Add(d.settings.Timing.PlatformCall) || ctx.Err() != nil || !d.sleep(d.settings.Timing.Tick) {
		return refusal(key, coder.New(coder.Unknown, "the log can't be read, so it isn't known whether %q was submitted", key), d.settings.Timing.PlatformCall)
	}
	return nil
}

func (c *core) removeWaiter(key string, outcomes chan keeper.Outcome) {
	kept := c.waiters[key][:0]
	for _, o := range c.waiters[key] {
		if o != outcomes {
			kept = append(kept, o)
		}
	}
	if len(kept) == 0 {
		delete(c.waiters, key)
		return
	}
	c.waiters[key] = kept
}

// endedAnswer returns the answer of a key's work if it has ended, or nil. It queries the
// key's home data centre if the outcome isn't known here.
func (d *Daemon) endedAnswer(ctx context.Context, key, home string, outcomes chan keeper.Outcome) *schema.Answer {
	select {
	case o := <-outcomes:
		return answer(key, int32(o.Code()), o.Answer(), o.State())
	default:
	}
	if o, known := d.queryOutcome(ctx, home, key); known && coder.Code(o.GetResultCode()) != coder.Pending {
		return answer(key, o.GetResultCode(), o.GetAnswer(), o.GetState())
	}
	return nil
}

// waitForOutcome waits for m, or less if an outcome arrives, which it leaves in the
// channel. It reports false if the caller left or the daemon has stopped.
func (d *Daemon) waitForOutcome(ctx context.Context, m clock.Millis, outcomes chan keeper.Outcome) bool {
	t := time.NewTimer(m.Duration())
	defer t.Stop()
	select {
	case o := <-outcomes:
		select {
		case outcomes <- o:
		default:
		}
		return true
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	case <-d.ctx.Done():
		return false
	}
}

func hasEnded(o keeper.Outcome) bool { return o.Known() && o.Code() != coder.Pending }

func answer(key string, code int32, payload []byte, state string) *schema.Answer {
	return &schema.Answer{
		RequestId: key, ResultCode: code, Payload: payload, State: state,
		Length: int64(len(payload)), Digest: fmt.Sprintf("%016x", xxhash.Sum64(payload)),
	}
}

// cancel writes a request to cancel the tasks of submitted work to the log.
func (d *Daemon) cancel(ctx context.Context, r *schema.CancelRequest) (*schema.CancelResponse, error) {
	if e := d.notServing(); e != nil {
		return nil, e
	}
	keys, err := queryCore(ctx, d, func(c *core) []string { return c.taskKeys(r.GetKey()) })
	if err != nil {
		return nil, err
	}
	if len(keys) == 0 {
		return nil, coder.New(coder.NotFound, "no work was submitted under %q", r.GetKey())
	}
	records := make([]*schema.Record, 0, len(keys))
	for _, k := range keys {
		c := &schema.CancelIntent{Key: k, Operator: r.GetOperator()}
		records = append(records, &schema.Record{Body: &schema.Record_Cancel{Cancel: c}})
	}
	if _, err := d.writeNew(ctx, provider.StreamIntents, records...); err != nil {
		return nil, err
	}
	return &schema.CancelResponse{}, nil
}
