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
	// whereabouts is what a daemon knows of a key.
	whereabouts struct {
		// home is the shard that decides about it, "" where it isn't known.
		home string
		// asOf is up to when every submission has been read.
		asOf clock.Millis
	}
)

const (
	// remotePoll is how often work at home in another data centre is asked for.
	remotePoll = 500 * clock.Millis(1)

	// several is any number of tasks for which each has a key of its own.
	several = 2
)

// submit puts work into the log under its key, and waits for its end as long
// as the caller wishes. The first submission of a key counts.
func (d *Daemon) submit(ctx context.Context, r *schema.SubmitRequest) *schema.Answer {
	if e := d.unable(); e != nil {
		return refusal(r.GetKey(), e, d.settings.Timing.Heartbeat)
	}
	d.begin()
	defer d.end()
	job, e := d.submittable(r)
	if e != nil {
		return refusal(r.GetKey(), e, 0)
	}
	keys, err := within(ctx, d, func(c *core) []string { return c.keysOf(r.GetKey()) })
	if err != nil {
		return refusal(r.GetKey(), coder.New(coder.NotRun, "%v", err), d.settings.Timing.Heartbeat)
	}
	if len(keys) == 0 {
		if a := d.putIntents(ctx, r, job); a != nil {
			return a
		}
	}
	return d.await(ctx, &schema.AwaitRequest{Key: r.GetKey(), WaitMillis: r.GetWaitMillis()})
}

// submittable gives the job that a submission names, or why it can't be run.
func (d *Daemon) submittable(r *schema.SubmitRequest) (declarer.BatchJob, *coder.Error) {
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

// putIntents puts the tasks of a submission into the log in one append, and
// gives an answer where they could not be handed in.
func (d *Daemon) putIntents(ctx context.Context, r *schema.SubmitRequest, job declarer.BatchJob) *schema.Answer {
	records := make([]*schema.Record, 0, job.Tasks)
	for n := range job.Tasks {
		key := TaskKey(r.GetKey(), n, job.Tasks)
		home := keeper.HomeOf(d.state.Load(), key)
		if home == "" {
			return refusal(r.GetKey(), coder.New(coder.NotRun, "every data centre is taken out"), clock.Minute)
		}
		i := intentOf(job, key, home, r.GetPayload())
		i.TaskIndex = int32(n)
		if r.GetTimeoutMillis() > 0 {
			i.DeadlineMillis = int64(d.now()) + r.GetTimeoutMillis()
		}
		records = append(records, &schema.Record{Body: &schema.Record_Intent{Intent: i}})
	}
	_, err := d.put(ctx, provider.StreamIntents, records...)
	switch coder.Of(err) {
	case coder.OK:
		return nil
	case coder.LogDown, coder.ShuttingDown:
		return refusal(r.GetKey(), coder.New(coder.NotRun, "%v", err), d.settings.Timing.PlatformCall)
	}
	return refusal(r.GetKey(), coder.New(coder.Unknown, "%v: await the key", err), d.settings.Timing.PlatformCall)
}

// keysOf gives the keys of the tasks that were submitted under a key: the key
// itself, or one for each task of a job of several; none where it isn't known.
func (c *core) keysOf(key string) []string {
	if c.home(key) != "" {
		return []string{key}
	}
	var keys []string
	for n := 0; c.home(TaskKey(key, n, several)) != ""; n++ {
		keys = append(keys, TaskKey(key, n, several))
	}
	return keys
}

// home gives the shard that a key is at home in, "" where it isn't known.
func (c *core) home(key string) string {
	home, _ := c.register.Home(key)
	return home
}

// await waits for the end of submitted work.
func (d *Daemon) await(ctx context.Context, r *schema.AwaitRequest) *schema.Answer {
	if !d.ready.Load() {
		return refusal(r.GetKey(), coder.New(coder.NotReady, "the daemon has just started and is not ready: ask another entry host"), d.settings.Timing.Heartbeat)
	}
	if d.inFlight.Load() > int64(d.settings.Limits.Waiters) {
		return refusal(r.GetKey(), coder.New(coder.Overloaded, "too many callers wait here"), clock.Second)
	}
	end := d.now().Add(min(clock.Millis(r.GetWaitMillis()), d.settings.Timing.Wait))
	if keys := d.keysOf(ctx, r.GetKey()); len(keys) > 1 {
		return d.awaitAll(ctx, r.GetKey(), keys, end)
	}
	a := d.awaitOne(ctx, r, end)
	if a.GetResultCode() != int32(coder.NotFound) {
		return a
	}
	// The submissions were read further meanwhile.
	if keys := d.keysOf(ctx, r.GetKey()); len(keys) > 1 {
		return d.awaitAll(ctx, r.GetKey(), keys, end)
	}
	return a
}

func (d *Daemon) keysOf(ctx context.Context, key string) []string {
	keys, err := within(ctx, d, func(c *core) []string { return c.keysOf(key) })
	if err != nil {
		return nil
	}
	return keys
}

// awaitAll waits for the end of every task of a submission. The answer is that
// of the first task that has not ended well, or all of their answers, one a line.
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

// awaitOne waits for the end of one task until a time.
func (d *Daemon) awaitOne(ctx context.Context, r *schema.AwaitRequest, end clock.Millis) *schema.Answer {
	asked := d.now()
	w := make(chan keeper.Outcome, 1)
	defer d.post(func(c *core) { c.forget(r.GetKey(), w) })
	for {
		at, err := within(ctx, d, func(c *core) whereabouts { return c.listen(r.GetKey(), w) })
		if err != nil {
			return refusal(r.GetKey(), coder.New(coder.Unknown, "%v", err), d.settings.Timing.Heartbeat)
		}
		if at.home == "" {
			if a := d.unheardOf(ctx, r.GetKey(), asked, at); a != nil {
				return a
			}
			continue
		}
		a := d.look(ctx, r.GetKey(), at.home, w)
		if left := end.Sub(d.now()); a != nil || left <= 0 || d.leaving.Load() || !d.pause(ctx, min(left, remotePoll), w) {
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

// listen has the core tell w of the end of a key's work, at once where it has
// ended, and gives where it is at home.
func (c *core) listen(key string, w chan keeper.Outcome) whereabouts {
	c.forget(key, w)
	c.waiters[key] = append(c.waiters[key], w)
	c.wake(key)
	return whereabouts{home: c.home(key), asOf: c.endRead[provider.StreamIntents]}
}

// unheardOf gives the answer to a caller that asks for a key of which the
// daemon knows nothing, or nil while submissions up to the time of asking are
// still being read.
func (d *Daemon) unheardOf(ctx context.Context, key string, asked clock.Millis, at whereabouts) *schema.Answer {
	if at.asOf > asked {
		return refusal(key, coder.New(coder.NotFound, "no work was submitted under %q", key), 0)
	}
	if d.now() > asked.Add(d.settings.Timing.PlatformCall) || ctx.Err() != nil || !d.sleep(d.settings.Timing.Tick) {
		return refusal(key, coder.New(coder.Unknown, "the log can't be read, so it isn't known whether %q was submitted", key), d.settings.Timing.PlatformCall)
	}
	return nil
}

func (c *core) forget(key string, w chan keeper.Outcome) {
	kept := c.waiters[key][:0]
	for _, o := range c.waiters[key] {
		if o != w {
			kept = append(kept, o)
		}
	}
	if len(kept) == 0 {
		delete(c.waiters, key)
		return
	}
	c.waiters[key] = kept
}

// look gives the answer of a key's work, if it has ended.
func (d *Daemon) look(ctx context.Context, key, home string, w chan keeper.Outcome) *schema.Answer {
	select {
	case o := <-w:
		return answer(key, int32(o.Code()), o.Answer(), o.State())
	default:
	}
	if o, known := d.askOutcome(ctx, home, key); known && coder.Code(o.GetResultCode()) != coder.Pending {
		return answer(key, o.GetResultCode(), o.GetAnswer(), o.GetState())
	}
	return nil
}

// pause waits, shorter where w is told, and gives false where the caller left.
func (d *Daemon) pause(ctx context.Context, m clock.Millis, w chan keeper.Outcome) bool {
	t := time.NewTimer(m.Duration())
	defer t.Stop()
	select {
	case o := <-w:
		select {
		case w <- o:
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

func ended(o keeper.Outcome) bool { return o.Known() && o.Code() != coder.Pending }

func answer(key string, code int32, payload []byte, state string) *schema.Answer {
	return &schema.Answer{
		RequestId: key, ResultCode: code, Payload: payload, State: state,
		Length: int64(len(payload)), Digest: fmt.Sprintf("%016x", xxhash.Sum64(payload)),
	}
}

// cancel asks for the end of submitted work.
func (d *Daemon) cancel(ctx context.Context, r *schema.CancelRequest) (*schema.CancelResponse, error) {
	if e := d.unable(); e != nil {
		return nil, e
	}
	keys, err := within(ctx, d, func(c *core) []string { return c.keysOf(r.GetKey()) })
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
	if _, err := d.put(ctx, provider.StreamIntents, records...); err != nil {
		return nil, err
	}
	return &schema.CancelResponse{}, nil
}
