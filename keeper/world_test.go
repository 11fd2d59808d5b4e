package keeper

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
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
	// world is the platform in virtual time, with daemons around shards of
	// data centres of one shard each.
	world struct {
		clock   *clock.Manual
		log     *imitator.Log
		workers map[string]*imitator.Worker
		hosts   map[string][]provider.Host
		state   *declarer.State
		nodes   map[string]*node
		ids     int
		// orderBytes are the documents between owners and workers.
		orderBytes int
	}

	// node is one daemon with the keeper of one shard.
	node struct {
		world     *world
		name      string
		centre    string
		register  *Register
		keeper    *Keeper
		intents   provider.Offset
		events    provider.Offset
		epoch     int64
		authority Authority
		unseen    map[string]*unseen
		told      []Event
		bytes     int
		count     int
	}

	// unseen is an append that was not read back yet.
	unseen struct {
		append Append
		tried  clock.Millis
		order  int
	}
)

const (
	testCentre  = "south"
	otherCentre = "north"
	testShard   = "south/0"
)

func newWorld(workers int, capacity sizer.Size) *world {
	w := &world{
		clock:   clock.NewManual(clock.Hour),
		workers: map[string]*imitator.Worker{},
		hosts:   map[string][]provider.Host{},
		nodes:   map[string]*node{},
		state:   declarer.NewState(),
	}
	w.log = imitator.NewLog(imitator.WithLogClock(w.clock.Now), imitator.WithAppendsPerSecond(1_000_000))
	w.addWorkers(testCentre, workers, capacity, func(int) func() clock.Millis { return w.clock.Now })
	return w
}

func (w *world) addWorkers(centre string, workers int, capacity sizer.Size, now func(n int) func() clock.Millis) {
	for n := range workers {
		name := fmt.Sprintf("%s-w%04d", centre, n)
		w.workers[name] = imitator.NewWorker(capacity, now(n), imitator.AsDeclared)
		w.hosts[centre] = append(w.hosts[centre], provider.Host{
			Name: name, Role: provider.RoleWorker, Address: name, DataCentre: centre,
			Rack: fmt.Sprintf("r%d", n/8), Capacity: sizer.DocumentOf(capacity),
		})
	}
}

// declare applies one declaration; every node has it at once.
func (w *world) declare(t testing.TB, kind declarer.Kind, name, document string) {
	w.change(t, kind, name, document)
	for _, n := range w.nodes {
		n.keeper.SetConfig(w.state)
	}
}

func (w *world) change(t must.T, kind declarer.Kind, name, document string) {
	c := &schema.Change{Operator: "ana", Items: []*schema.ChangeItem{{
		Kind: string(kind), Name: name, ExpectedVersion: w.state.Get(kind, name).Version(), Delete: document == "", Document: []byte(document),
	}}}
	after, o := w.state.Apply(w.state.Next(), c)
	must.True(t, o.Accepted(), must.Sprint(o.Err()))
	w.state = after
}

func (w *world) declareUsual(t must.T) {
	w.change(t, declarer.KindDataCentre, testCentre, `{"name":"south","region":"trinidad"}`)
	w.change(t, declarer.KindTeam, "billing", `{"name":"billing","quota":{"processors":100000,"memory":"100TiB","accelerators":1000}}`)
	w.change(t, declarer.KindBatchJob, "roster", `{"name":"roster","team":"billing","size":{"processors":1,"memory":"1GiB"},"run-time":"20s","idempotent":true}`)
	w.change(t, declarer.KindBatchJob, "invoice", `{"name":"invoice","team":"billing","size":{"processors":1,"memory":"1GiB"},"run-time":"20s"}`)
}

func (w *world) add(name string) *node { return w.addIn(testCentre, name) }

func (w *world) addIn(centre, name string) *node {
	n := &node{world: w, name: name, centre: centre, register: NewRegister(), epoch: -1, authority: NoAuthority(), unseen: map[string]*unseen{}}
	n.keeper = New(centre+"/0", centre, name, n.register)
	n.keeper.SetConfig(w.state)
	n.keeper.SetHosts(w.hosts[centre])
	w.nodes[name] = n
	return n
}

// sorted gives the nodes by name.
func (w *world) sorted() []*node {
	var all []*node
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		all = append(all, w.nodes[name])
	}
	return all
}

func (w *world) put(stream string, r *schema.Record) (provider.Offset, error) {
	w.ids++
	if r.Id == "" {
		r.Id = fmt.Sprintf("test.%d", w.ids)
	}
	r.AtMillis = int64(w.clock.Now())
	return w.log.Provider().Append(context.Background(), stream, [][]byte{encode(r)})
}

func (w *world) submit(key, job string, set func(*schema.Intent)) error {
	i := &schema.Intent{Key: key, Team: "billing", Job: job, Shard: testShard, Payload: []byte(key), Idempotent: job == "roster"}
	if set != nil {
		set(i)
	}
	_, err := w.put(provider.StreamIntents, &schema.Record{Body: &schema.Record_Intent{Intent: i}})
	return err
}

func (w *world) cancel(key string) error {
	_, err := w.put(provider.StreamIntents, &schema.Record{Body: &schema.Record_Cancel{Cancel: &schema.CancelIntent{Key: key}}})
	return err
}

// claim makes a node the owner for a time.
func (n *node) claim(hold clock.Millis) error {
	o, err := n.world.put(provider.StreamOf(n.centre), &schema.Record{Body: &schema.Record_Claim{Claim: &schema.Claim{Shard: n.keeper.Shard()}}})
	if err != nil {
		return err
	}
	n.tailEvents()
	n.authority = NewAuthority(int64(o), n.world.clock.Now()+hold, true)
	return nil
}

// restore begins from the snapshot that another node would write now.
func (n *node) restore(from *node) {
	s, ok := from.keeper.State()
	if !ok {
		return
	}
	data, err := proto.Marshal(s)
	if err != nil {
		panic(err)
	}
	read := &schema.ShardState{}
	if err := proto.Unmarshal(data, read); err != nil {
		panic(err)
	}
	n.register.Restore(from.intents, from.register.State())
	n.keeper.Restore(read)
	n.events = from.events
	n.intents = from.intents
	n.epoch = from.epoch
}

func (n *node) tail() {
	n.tailEvents()
	n.tailIntents()
}

// tailEvents applies the stream of the data centre; only events of the epoch
// at their place count.
func (n *node) tailEvents() {
	for _, e := range n.read(provider.StreamOf(n.centre), &n.events) {
		n.event(e)
	}
}

func (n *node) tailIntents() {
	for _, e := range n.read(provider.StreamIntents, &n.intents) {
		r := decode(e.Data)
		delete(n.unseen, r.GetId())
		n.keeper.ApplyIntent(n.register.Apply(e.Offset, r))
	}
}

func (n *node) read(stream string, from *provider.Offset) []provider.Entry {
	p, err := n.world.log.Provider().Read(context.Background(), stream, *from, 1<<20)
	if err != nil || len(p.Entries) == 0 {
		return nil
	}
	*from = p.Entries[len(p.Entries)-1].Offset + 1
	for _, e := range p.Entries {
		n.bytes += len(e.Data)
	}
	return p.Entries
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

func encode(r *schema.Record) []byte {
	data, err := proto.Marshal(r)
	if err != nil {
		panic(err)
	}
	return data
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
	for _, o := range n.act() {
		n.keeper.Done(n.world.clock.Now(), o.Do(context.Background(), n.world.provider()))
	}
	n.flush(n.put)
	n.tail()
}

// act gives the orders of a step and keeps its records for flush.
func (n *node) act() []*Order {
	a := n.keeper.Step(n.world.clock.Now(), n.authority)
	n.told = append(n.told, a.Events()...)
	for _, p := range a.Appends() {
		n.count++
		n.unseen[p.Record().GetId()] = &unseen{append: p, tried: -clock.Hour, order: n.count}
	}
	return a.Orders()
}

func (n *node) put(a Append) {
	_, _ = n.world.log.Provider().Append(context.Background(), a.Stream(), [][]byte{encode(a.Record())})
}

// flush tries each record that was not read back again each half second.
func (n *node) flush(put func(Append)) {
	now := n.world.clock.Now()
	all := slices.Collect(maps.Values(n.unseen))
	slices.SortFunc(all, func(a, b *unseen) int { return cmp.Compare(a.order, b.order) })
	for _, u := range all {
		if now-u.tried >= 500 {
			u.tried = now
			put(u.append)
		}
	}
}

func (w *world) provider() provider.Workers {
	return imitator.WorkersOf(func(a string) *imitator.Worker { return w.workers[a] })
}

// run lets the nodes act for a time in small steps; owners renew.
func (w *world) run(d, tick clock.Millis) {
	for end := w.clock.Now() + d; w.clock.Now() < end; w.clock.Advance(tick) {
		for _, n := range w.sorted() {
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
