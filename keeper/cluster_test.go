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
	// cluster simulates a platform in virtual time: a log, workers, and daemons that each
	// run the keeper of one shard. Each data centre has one shard, which any of its daemons
	// can own.
	cluster struct {
		clock     *clock.Manual
		log       *imitator.Log
		workers   map[string]*imitator.Worker
		hosts     map[string][]provider.Host
		state     *declarer.State
		nodes     map[string]*node
		recordIDs int
		// orderBytes is the size of all JSON documents exchanged between owners and
		// workers.
		orderBytes int
	}

	// node is one daemon with the keeper of one shard.
	node struct {
		cluster    *cluster
		name       string
		centre     string
		register   *Register
		keeper     *Keeper
		nextIntent provider.Offset
		nextEvent  provider.Offset
		epoch      int64
		authority  Authority
		// unread holds the appends whose records were not read back yet, by record ID.
		unread      map[string]*unreadAppend
		emitted     []Event
		bytesRead   int
		appendCount int
	}

	// unreadAppend is an append whose record was not read back yet.
	unreadAppend struct {
		append Append
		// triedAt is when the record was last appended.
		triedAt clock.Millis
		order   int
	}
)

const (
	testCentre  = "south"
	otherCentre = "north"
	testShard   = "south/0"
)

func newCluster(workers int, capacity sizer.Size) *cluster {
	w := &cluster{
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

func (w *cluster) addWorkers(centre string, workers int, capacity sizer.Size, now func(n int) func() clock.Millis) {
	for n := range workers {
		name := fmt.Sprintf("%s-w%04d", centre, n)
		w.workers[name] = imitator.NewWorker(capacity, now(n), imitator.AsDeclared)
		w.hosts[centre] = append(w.hosts[centre], provider.Host{
			Name: name, Role: provider.RoleWorker, Address: name, DataCentre: centre,
			Rack: fmt.Sprintf("r%d", n/8), Capacity: sizer.DocumentOf(capacity),
		})
	}
}

// declare applies one declaration and passes the configuration to every node.
func (w *cluster) declare(t testing.TB, kind declarer.Kind, name, document string) {
	w.change(t, kind, name, document)
	for _, n := range w.nodes {
		n.keeper.SetConfig(w.state)
	}
}

// change applies one declaration; an empty document deletes it. Nodes don't receive the
// new configuration yet.
func (w *cluster) change(t must.T, kind declarer.Kind, name, document string) {
	c := &schema.Change{Operator: "ana", Items: []*schema.ChangeItem{{
		Kind: string(kind), Name: name, ExpectedVersion: w.state.Get(kind, name).Version(), Delete: document == "", Document: []byte(document),
	}}}
	after, o := w.state.Apply(w.state.Next(), c)
	must.True(t, o.Accepted(), must.Sprint(o.Err()))
	w.state = after
}

func (w *cluster) declareDefaults(t must.T) {
	w.change(t, declarer.KindDataCentre, testCentre, `{"name":"south","region":"trinidad"}`)
	w.change(t, declarer.KindTeam, "billing", `{"name":"billing","quota":{"processors":100000,"memory":"100TiB","accelerators":1000}}`)
	w.change(t, declarer.KindBatchJob, "roster", `{"name":"roster","team":"billing","size":{"processors":1,"memory":"1GiB"},"run-time":"20s","idempotent":true}`)
	w.change(t, declarer.KindBatchJob, "invoice", `{"name":"invoice","team":"billing","size":{"processors":1,"memory":"1GiB"},"run-time":"20s"}`)
}

func (w *cluster) addNode(name string) *node { return w.addNodeIn(testCentre, name) }

func (w *cluster) addNodeIn(centre, name string) *node {
	n := &node{cluster: w, name: name, centre: centre, register: NewRegister(), epoch: -1, authority: NoAuthority(), unread: map[string]*unreadAppend{}}
	n.keeper = New(centre+"/0", centre, name, n.register)
	n.keeper.SetConfig(w.state)
	n.keeper.SetHosts(w.hosts[centre])
	w.nodes[name] = n
	return n
}

// sortedNodes returns the nodes sorted by name.
func (w *cluster) sortedNodes() []*node {
	var all []*node
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		all = append(all, w.nodes[name])
	}
	return all
}

// put appends a record to the log at the current time, with a new ID if it has none.
func (w *cluster) put(stream string, r *schema.Record) (provider.Offset, error) {
	w.recordIDs++
	if r.Id == "" {
		r.Id = fmt.Sprintf("test.%d", w.recordIDs)
	}
	r.AtMillis = int64(w.clock.Now())
	return w.log.Provider().Append(context.Background(), stream, [][]byte{encode(r)})
}

func (w *cluster) submit(key, job string, set func(*schema.Intent)) error {
	i := &schema.Intent{Key: key, Team: "billing", Job: job, Shard: testShard, Payload: []byte(key), Idempotent: job == "roster"}
	if set != nil {
		set(i)
	}
	_, err := w.put(provider.StreamIntents, &schema.Record{Body: &schema.Record_Intent{Intent: i}})
	return err
}

func (w *cluster) cancel(key string) error {
	_, err := w.put(provider.StreamIntents, &schema.Record{Body: &schema.Record_Cancel{Cancel: &schema.CancelIntent{Key: key}}})
	return err
}

// claim makes a node the owner of its shard for a time.
func (n *node) claim(hold clock.Millis) error {
	o, err := n.cluster.put(provider.StreamOf(n.centre), &schema.Record{Body: &schema.Record_Claim{Claim: &schema.Claim{Shard: n.keeper.Shard()}}})
	if err != nil {
		return err
	}
	n.tailEvents()
	n.authority = NewAuthority(int64(o), n.cluster.clock.Now()+hold, true)
	return nil
}

// restore restores a node from a snapshot of another node, if that can make one.
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
	n.register.Restore(from.nextIntent, from.register.State())
	n.keeper.Restore(read)
	n.nextEvent = from.nextEvent
	n.nextIntent = from.nextIntent
	n.epoch = from.epoch
}

// tail reads and applies the new records of both streams.
func (n *node) tail() {
	n.tailEvents()
	n.tailIntents()
}

// tailEvents reads and applies the new records of the data centre's stream.
func (n *node) tailEvents() {
	for _, e := range n.read(provider.StreamOf(n.centre), &n.nextEvent) {
		n.applyEvent(e)
	}
}

func (n *node) tailIntents() {
	for _, e := range n.read(provider.StreamIntents, &n.nextIntent) {
		r := decode(e.Data)
		delete(n.unread, r.GetId())
		n.keeper.ApplyIntent(n.register.Apply(e.Offset, r))
	}
}

func (n *node) read(stream string, from *provider.Offset) []provider.Entry {
	p, err := n.cluster.log.Provider().Read(context.Background(), stream, *from, 1<<20)
	if err != nil || len(p.Entries) == 0 {
		return nil
	}
	*from = p.Entries[len(p.Entries)-1].Offset + 1
	for _, e := range p.Entries {
		n.bytesRead += len(e.Data)
	}
	return p.Entries
}

// applyEvent applies a record of the data centre's stream. A claim begins an epoch; events
// of another epoch are left out. A node that isn't the owner loses its authority.
func (n *node) applyEvent(e provider.Entry) {
	r := decode(e.Data)
	delete(n.unread, r.GetId())
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

// step lets a node act once and carries out its orders immediately.
func (n *node) step() {
	n.tail()
	for _, o := range n.stepKeeper() {
		n.keeper.ApplyResult(n.cluster.clock.Now(), o.Do(context.Background(), n.cluster.provider()))
	}
	n.flush(n.put)
	n.tail()
}

// stepKeeper steps the keeper, stores the records for flush and returns the orders.
func (n *node) stepKeeper() []*Order {
	a := n.keeper.Step(n.cluster.clock.Now(), n.authority)
	n.emitted = append(n.emitted, a.Events()...)
	for _, p := range a.Appends() {
		n.appendCount++
		n.unread[p.Record().GetId()] = &unreadAppend{append: p, triedAt: -clock.Hour, order: n.appendCount}
	}
	return a.Orders()
}

func (n *node) put(a Append) {
	_, _ = n.cluster.log.Provider().Append(context.Background(), a.Stream(), [][]byte{encode(a.Record())})
}

// flush calls put for each record that was not read back yet, at most twice a second for a
// record.
func (n *node) flush(put func(Append)) {
	now := n.cluster.clock.Now()
	all := slices.Collect(maps.Values(n.unread))
	slices.SortFunc(all, func(a, b *unreadAppend) int { return cmp.Compare(a.order, b.order) })
	for _, u := range all {
		if now-u.triedAt >= 500 {
			u.triedAt = now
			put(u.append)
		}
	}
}

func (w *cluster) provider() provider.Workers {
	return imitator.WorkersOf(func(a string) *imitator.Worker { return w.workers[a] })
}

// run steps all nodes every tick for the time d. Owners renew their authority.
func (w *cluster) run(d, tick clock.Millis) {
	for end := w.clock.Now() + d; w.clock.Now() < end; w.clock.Advance(tick) {
		for _, n := range w.sortedNodes() {
			if n.authority.Epoch() >= 0 {
				n.authority = NewAuthority(n.authority.Epoch(), w.clock.Now()+20*clock.Second, n.authority.Starts())
			}
			n.step()
		}
	}
}

// startCount returns how often workers have started tasks whose ID has a prefix.
func (w *cluster) startCount(prefix string) int {
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
