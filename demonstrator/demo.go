package demonstrator

import (
	"context"
	"embed"
	"fmt"
	"io"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/pricer"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// demo runs the demonstration for one example customer.
	demo struct {
		// customer is the name of the customer, and of its file in declarations without the
		// extension.
		customer   string
		out        io.Writer
		startedAt  clock.Millis
		deployment *Deployment
		items      []declarer.Item
		// drainTarget is the data centre that the demonstration drains and restores.
		drainTarget string
		check       *schema.CheckRequest
		submissions []*schema.SubmitRequest
	}
)

const (
	demoTimeout  = 40 * clock.Second
	pollInterval = 50 * clock.Millis(1)
	historySpan  = 62 * clock.Day
)

var (
	//go:embed declarations
	declarations embed.FS

	workerCapacity = sizer.New(32_000, 125*sizer.GiB, 0)
)

// Run starts a deployment for each of the two example customers, runs their demonstrations
// concurrently and writes the progress to out. The daemons' log lines go to log. It returns
// the first error of either demonstration.
func Run(out, log io.Writer) error {
	both := demos(&lineWriter{to: out})
	log = &lineWriter{to: log}
	errs := make(chan error, len(both))
	for _, d := range both {
		go func() { errs <- errors.Wrapf(d.run(log), "demonstrator.Run: %s", d.customer) }()
	}
	var firstErr error
	for range both {
		if err := <-errs; err != nil && firstErr == nil {
			firstErr = err
		}
	}
	return firstErr
}

func demos(out io.Writer) []*demo {
	return []*demo{
		{
			customer: "crossguard", out: out, drainTarget: "point-fortin",
			check: &schema.CheckRequest{RequestId: "check-1", Team: "trackside", Service: "fault-reporting", Payload: []byte("barrier of crossing 7")},
			submissions: []*schema.SubmitRequest{
				{Key: "review-crossing-7", Team: "planning", Job: "fault-review", Payload: []byte("history of crossing 7")},
				{Key: "statistics-2026-48", Team: "planning", Job: "crossing-statistics", Payload: []byte("week 48")},
			},
		},
		{
			customer: "sorica", out: out, drainTarget: "ptuj",
			check: &schema.CheckRequest{RequestId: "check-1", Team: "rosters", Service: "scheduling", Payload: []byte("shift of the clinic")},
			submissions: []*schema.SubmitRequest{
				{Key: "roster-2026-49", Team: "rosters", Job: "roster", Payload: []byte("week 49")},
				{Key: "invoice-2026-11", Team: "billing", Job: "invoice", Payload: []byte("november")},
			},
		},
	}
}

func (d *demo) run(log io.Writer) error {
	d.startedAt = clock.System()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout.Duration())
	defer cancel()
	if err := d.start(log); err != nil {
		return err
	}
	defer d.deployment.Close()
	steps := []func(context.Context) error{d.apply, d.waitForPlacement, d.runCheck, d.submit, d.drain, d.restore, d.forecast, d.explain, d.audit}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

// printf writes a line with the elapsed time and the customer before the formatted text.
func (d *demo) printf(format string, args ...any) {
	spent := clock.System().Sub(d.startedAt)
	_, _ = fmt.Fprintf(d.out, "%5.1fs %-10s %s\n", spent.Duration().Seconds(), d.customer, fmt.Sprintf(format, args...))
}

func (d *demo) start(log io.Writer) error {
	data, err := declarations.ReadFile("declarations/" + d.customer + ".json")
	if err != nil {
		return errors.Wrap(err, "demo.start")
	}
	items, errs := declarer.ParseFile(data)
	if len(errs) > 0 {
		return errs
	}
	d.items = items
	dcs := dataCentres(items)
	d.deployment, err = Start(Config{
		DataCentres: dcs, Daemons: []int{2, 1}, Workers: 4, Executors: 2,
		Capacity: workerCapacity, Service: d.check.GetService(),
	}, log)
	if err != nil {
		return err
	}
	d.printf("three daemons in %s, 8 workers and 4 executors on loopback", strings.Join(dcs, " and "))
	return SeedHistory(d.deployment.Log(), items, clock.System(), historySpan)
}

func dataCentres(items []declarer.Item) []string {
	var names []string
	for _, i := range items {
		if i.Key().Kind() == declarer.KindDataCentre {
			names = append(names, i.Key().Name())
		}
	}
	return names
}

func (d *demo) apply(ctx context.Context) error {
	ready := func() bool { return d.deployment.Ready(0) && d.deployment.Ready(1) && d.deployment.Ready(2) }
	if err := waitUntil(ctx, ready); err != nil {
		return errors.Wrap(err, "demo.apply: wait until the daemons are ready")
	}
	change := declarer.ChangeOf("demo", declarer.Plan(nil, d.items, false))
	r, err := d.deployment.Operators(0).Apply(ctx, connect.NewRequest(&schema.ApplyRequest{Operator: "demo", Items: change.GetItems()}))
	if err != nil {
		return err
	}
	if c := coder.Code(r.Msg.GetResultCode()); c != coder.OK {
		return coder.New(c, "%s", r.Msg.GetReason())
	}
	d.printf("%d declarations in force at version %d", len(d.items), r.Msg.GetVersion())
	return nil
}

// longRunningTasks returns the number of declared service replicas and watch jobs.
func (d *demo) longRunningTasks() int {
	n := 0
	for _, i := range d.items {
		switch v := i.Value().(type) {
		case declarer.Service:
			n += v.Replicas
		case declarer.WatchJob:
			n++
		}
	}
	return n
}

func (d *demo) waitForPlacement(ctx context.Context) error {
	allRunning := func() bool {
		n := 0
		for _, dc := range d.deployment.config.DataCentres {
			n += d.deployment.Running(dc)
		}
		return n >= d.longRunningTasks()
	}
	if err := waitUntil(ctx, allRunning); err != nil {
		return errors.Wrap(err, "demo.waitForPlacement: wait until all replicas and watch jobs run")
	}
	d.printf("every replica and watch job runs:")
	d.printPlacements()
	return nil
}

func (d *demo) printPlacements() {
	for _, w := range d.deployment.Workers() {
		tasks, size := w.Running()
		names := make([]string, 0, len(tasks))
		for _, t := range tasks {
			names = append(names, t.String())
		}
		if len(names) > 0 {
			d.printf("  %-24s %4.1f cores: %s", w.Name(), float64(size.Millicores())/1000, strings.Join(names, " "))
		}
	}
}

func (d *demo) runCheck(ctx context.Context) error {
	a, err := d.deployment.Callers(2).Check(ctx, connect.NewRequest(d.check))
	if err != nil {
		return err
	}
	d.printf("a caller asks %q and is answered %s %q", d.check.GetPayload(), coder.Code(a.Msg.GetResultCode()), a.Msg.GetPayload())
	return nil
}

func (d *demo) submit(ctx context.Context) error {
	for _, q := range d.submissions {
		q.WaitMillis = int64(demoTimeout)
		a, err := d.deployment.Callers(1).Submit(ctx, connect.NewRequest(q))
		if err != nil {
			return err
		}
		d.printf("%s under key %s: %s %q", q.GetJob(), q.GetKey(), coder.Code(a.Msg.GetResultCode()), a.Msg.GetPayload())
	}
	return nil
}

func (d *demo) drain(ctx context.Context) error {
	r, err := d.deployment.Operators(0).Drain(ctx, connect.NewRequest(&schema.DrainRequest{Operator: "demo", Kind: "data-centre", Name: d.drainTarget}))
	if err != nil {
		return err
	}
	for _, v := range r.Msg.GetViews() {
		d.printf("%s is taken out; in force in %s: %t", d.drainTarget, v.GetDataCentre(), v.GetConfirmed())
	}
	if err := waitUntil(ctx, func() bool { return d.deployment.Running(d.drainTarget) == 0 }); err != nil {
		return errors.Wrap(err, "demo.drain: wait until no task runs in the drained data centre")
	}
	d.printf("nothing runs in %s any more", d.drainTarget)
	if err := d.waitForPlacement(ctx); err != nil {
		return err
	}
	return d.repeatCheck(ctx)
}

func (d *demo) repeatCheck(ctx context.Context) error {
	d.check.RequestId = "check-2"
	return d.runCheck(ctx)
}

func (d *demo) restore(ctx context.Context) error {
	_, err := d.deployment.Operators(2).Drain(ctx, connect.NewRequest(&schema.DrainRequest{Operator: "demo", Kind: "data-centre", Name: d.drainTarget, Restore: true}))
	if err != nil {
		return err
	}
	if err := waitUntil(ctx, func() bool { return d.deployment.Running(d.drainTarget) > 0 }); err != nil {
		return errors.Wrap(err, "demo.restore: wait until a task runs in the restored data centre")
	}
	d.printf("%s is back and takes work again", d.drainTarget)
	return nil
}

func (d *demo) forecast(ctx context.Context) error {
	r, err := d.deployment.Operators(0).Forecast(ctx, connect.NewRequest(&schema.ForecastRequest{By: "work"}))
	if err != nil {
		return err
	}
	f := r.Msg
	d.printf("forecast of %s in %s, from two months of history made for this demo:", f.GetMonth(), f.GetCurrency())
	for _, l := range append(f.GetLines(), &schema.ForecastLine{Name: "all", P10Minor: f.GetP10Minor(), P50Minor: f.GetP50Minor(), P90Minor: f.GetP90Minor()}) {
		d.printf("  %-22s %12s  (%s to %s)", l.GetName(), pricer.Grouped(l.GetP50Minor(), f.GetCurrency()), pricer.Grouped(l.GetP10Minor(), f.GetCurrency()), pricer.Grouped(l.GetP90Minor(), f.GetCurrency()))
	}
	for _, l := range f.GetLeftOut() {
		d.printf("  left out: %s", l)
	}
	return nil
}

func (d *demo) explain(ctx context.Context) error {
	r, err := d.deployment.Operators(0).Explain(ctx, connect.NewRequest(&schema.ExplainRequest{Against: "last-month"}))
	if err != nil {
		return err
	}
	e := r.Msg
	d.printf("why %s is not as last month, %s to %s %s:", e.GetMonth(), pricer.Grouped(e.GetFromMinor(), e.GetCurrency()), pricer.Grouped(e.GetToMinor(), e.GetCurrency()), e.GetCurrency())
	for _, c := range e.GetCauses() {
		d.printf("  %-10s %-30s %12s", c.GetKind(), c.GetName(), pricer.Signed(c.GetAmountMinor(), e.GetCurrency()))
	}
	return nil
}

func (d *demo) audit(ctx context.Context) error {
	r, err := d.deployment.Operators(0).Audit(ctx, connect.NewRequest(&schema.AuditRequest{Limit: 2}))
	if err != nil {
		return err
	}
	d.printf("the end of the audit trail:")
	for _, e := range r.Msg.GetEntries() {
		d.printf("  offset %d: %s, %s/%s, %s", e.GetOffset(), e.GetOperator(), e.GetKind(), e.GetName(), coder.Code(e.GetResultCode()))
	}
	return nil
}

// waitUntil polls done until it returns true. It returns an error if ctx ends before.
func waitUntil(ctx context.Context, done func() bool) error {
	t := time.NewTicker(pollInterval.Duration())
	defer t.Stop()
	for !done() {
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}
