package keeper

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// world is the platform in virtual time with daemons around one shard.
	world struct {
		clock   *clock.Manual
		log     *imitator.Log
		workers map[string]*imitator.Worker
		hosts   []provider.Host
		state   *declarer.State
		nodes   map[string]*node
		ids     int
	}

	// node is one daemon with its keeper.
	node struct {
		world     *world
		name      string
		register  *Register
		keeper    *Keeper
		intents   provider.Offset
		events    provider.Offset
		epoch     int64
		authority Authority
		unseen    map[string]Append
		told      []Event
	}
)

const (
	testCentre = "south"
	testShard  = "south/0"
)

func newWorld(workers int, capacity sizer.Size) *world {
	w := &world{clock: clock.NewManual(clock.Hour), workers: map[string]*imitator.Worker{}, nodes: map[string]*node{}}
	w.log = imitator.NewLog(imitator.WithLogClock(w.clock.Now), imitator.WithAppendsPerSecond(1_000_000))
	for n := range workers {
		name := fmt.Sprintf("w%04d", n)
		w.workers[name] = imitator.NewWorker(capacity, w.clock.Now, imitator.AsDeclared)
		w.hosts = append(w.hosts, provider.Host{
			Name: name, Role: provider.RoleWorker, Address: name, DataCentre: testCentre,
			Rack: fmt.Sprintf("r%d", n/8), Capacity: sizer.DocumentOf(capacity),
		})
	}
	w.state = declarer.NewState()
	return w
}

// declare applies one declaration.
func (w *world) declare(t testing.TB, kind declarer.Kind, name, document string) {
	c := &schema.Change{Operator: "ana", Items: []*schema.ChangeItem{{
		Kind: string(kind), Name: name, ExpectedVersion: w.state.Get(kind, name).Version(), Delete: document == "", Document: []byte(document),
	}}}
	after, o := w.state.Apply(w.state.Next(), c)
	must.True(t, o.Accepted(), must.Sprint(o.Err()))
	w.state = after
	for _, n := range w.nodes {
		n.keeper.SetConfig(w.state)
	}
}

func (w *world) declareUsual(t testing.TB) {
	w.declare(t, declarer.KindDataCentre, testCentre, `{"name":"south","region":"trinidad"}`)
	w.declare(t, declarer.KindTeam, "billing", `{"name":"billing","quota":{"processors":100000,"memory":"100TiB","accelerators":1000}}`)
	w.declare(t, declarer.KindBatchJob, "roster", `{"name":"roster","team":"billing","size":{"processors":1,"memory":"1GiB"},"run-time":"20s","idempotent":true}`)
	w.declare(t, declarer.KindBatchJob, "invoice", `{"name":"invoice","team":"billing","size":{"processors":1,"memory":"1GiB"},"run-time":"20s"}`)
}

func (w *world) add(name string) *node {
	n := &node{world: w, name: name, register: NewRegister(), epoch: -1, authority: NoAuthority(), unseen: map[string]Append{}}
	n.keeper = New(testShard, testCentre, name, n.register)
	n.keeper.SetConfig(w.state)
	n.keeper.SetHosts(w.hosts)
	w.nodes[name] = n
	return n
}

func (w *world) put(stream string, r *schema.Record) provider.Offset {
	w.ids++
	if r.Id == "" {
		r.Id = fmt.Sprintf("test.%d", w.ids)
	}
	r.AtMillis = int64(w.clock.Now())
	data, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	o, err := w.log.Provider().Append(context.Background(), stream, [][]byte{data})
	if err != nil {
		panic(err)
	}
	return o
}

func (w *world) submit(key, job string, set func(*schema.Intent)) {
	i := &schema.Intent{Key: key, Team: "billing", Job: job, Shard: testShard, Payload: []byte(key), Idempotent: job == "roster"}
	if set != nil {
		set(i)
	}
	w.put(provider.StreamIntents, &schema.Record{Body: &schema.Record_Intent{Intent: i}})
}

func (w *world) cancel(key string) {
	w.put(provider.StreamIntents, &schema.Record{Body: &schema.Record_Cancel{Cancel: &schema.CancelIntent{Key: key}}})
}

// claim makes a node the owner for a time.
func (n *node) claim(hold clock.Millis) {
	o := n.world.put(provider.StreamOf(testCentre), &schema.Record{Body: &schema.Record_Claim{Claim: &schema.Claim{Shard: testShard}}})
	n.tail()
	n.authority = NewAuthority(int64(o), n.world.clock.Now()+hold, true)
}

// tail applies what the log has; only events of the epoch at their place count.
func (n *node) tail() {
	log := n.world.log.Provider()
	for {
		p, err := log.Read(context.Background(), provider.StreamOf(testCentre), n.events, 1000)
		if err != nil || len(p.Entries) == 0 {
			break
		}
		for _, e := range p.Entries {
			n.event(e)
		}
		n.events = p.Entries[len(p.Entries)-1].Offset + 1
	}
	for {
		p, err := log.Read(context.Background(), provider.StreamIntents, n.intents, 1000)
		if err != nil || len(p.Entries) == 0 {
			break
		}
		for _, e := range p.Entries {
			r := decode(e.Data)
			delete(n.unseen, r.GetId())
			n.keeper.ApplyIntent(n.register.Apply(e.Offset, r))
		}
		n.intents = p.Entries[len(p.Entries)-1].Offset + 1
	}
}

func (n *node) event(e provider.Entry) {
	r := decode(e.Data)
	delete(n.unseen, r.GetId())
	if r.GetClaim() != nil {
		n.epoch = int64(e.Offset)
	}
	if t := r.GetTask(); t != nil && t.GetEpoch() == n.epoch {
		n.keeper.ApplyEvent(r)
	}
	if n.epoch != n.authority.Epoch() {
		n.authority = NoAuthority()
	}
}

func decode(data []byte) *schema.Record {
	r := &schema.Record{}
	if err := proto.Unmarshal(data, r); err != nil {
		panic(err)
	}
	return r
}

// step lets a node act once; its orders are carried out at once.
func (n *node) step() {
	n.tail()
	a := n.keeper.Step(n.world.clock.Now(), n.authority)
	n.told = append(n.told, a.Events()...)
	n.append(a.Appends())
	for _, o := range a.Orders() {
		n.keeper.Done(n.world.clock.Now(), o.Do(context.Background(), n.world.provider()))
	}
	n.tail()
}

func (n *node) append(all []Append) {
	for _, a := range all {
		data, err := proto.Marshal(a.Record())
		if err != nil {
			panic(err)
		}
		if _, err := n.world.log.Provider().Append(context.Background(), a.Stream(), [][]byte{data}); err != nil {
			n.unseen[a.Record().GetId()] = a
		}
	}
}

func (w *world) provider() provider.Workers {
	return imitator.WorkersOf(func(a string) *imitator.Worker { return w.workers[a] })
}

// run lets the nodes act for a time in small steps; owners renew.
func (w *world) run(d, tick clock.Millis) {
	for end := w.clock.Now() + d; w.clock.Now() < end; w.clock.Advance(tick) {
		for _, n := range w.nodes {
			if n.authority.Epoch() >= 0 {
				n.authority = NewAuthority(n.authority.Epoch(), w.clock.Now()+20*clock.Second, n.authority.Starts())
			}
			n.step()
		}
	}
}

func (w *world) starts(prefix string) int {
	n := 0
	for _, worker := range w.workers {
		for _, i := range worker.Starts() {
			if strings.HasPrefix(i.Task, prefix) {
				n++
			}
		}
	}
	return n
}
