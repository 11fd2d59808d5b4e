package keeper_test

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/keeper"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

// A daemon passes the records that it reads to the keeper and carries out the actions that
// Step returns.
func Example() {
	now := clock.NewManual(clock.Hour)
	size := sizer.New(4000, 8*sizer.GiB, 0)
	worker := imitator.NewWorker(size, now.Now, imitator.AsDeclared)
	workers := imitator.WorkersOf(func(string) *imitator.Worker { return worker })
	log := imitator.NewLog(imitator.WithLogClock(now.Now)).Provider()

	register := keeper.NewRegister()
	k := keeper.New("south/0", "south", "entry-1", register)
	k.SetConfig(declaredState())
	k.SetHosts([]provider.Host{{Name: "w1", Address: "10.0.0.1:7000", Capacity: sizer.DocumentOf(size)}})
	k.ApplyIntent(register.Apply(0, &schema.Record{Id: "a", Body: &schema.Record_Intent{
		Intent: &schema.Intent{Key: "monday", Job: "roster", Shard: "south/0", Idempotent: true},
	}}))

	next := provider.Offset(0)
	for k.Outcome("monday").Answer() == nil {
		now.Advance(100)
		// The daemon owns the shard with epoch 7 for a minute, and tasks may start.
		actions := k.Step(now.Now(), keeper.NewAuthority(7, now.Now()+clock.Minute, true))
		for _, a := range actions.Appends() {
			data, _ := proto.Marshal(a.Record())
			_, _ = log.Append(context.Background(), a.Stream(), [][]byte{data})
		}
		for _, o := range actions.Orders() {
			k.ApplyResult(now.Now(), o.Do(context.Background(), workers))
		}
		page, _ := log.Read(context.Background(), provider.StreamOf("south"), next, 100)
		for _, e := range page.Entries {
			r := &schema.Record{}
			_ = proto.Unmarshal(e.Data, r)
			k.ApplyEvent(r)
			next = e.Offset + 1
		}
	}
	// GW0000 is coder.OK, and "done" is the answer of the task.
	fmt.Println(k.Outcome("monday").Code(), string(k.Outcome("monday").Answer()))
	// Output: GW0000 done:
}

func declaredState() *declarer.State {
	documents := map[declarer.Kind][2]string{
		declarer.KindDataCentre: {"south", `{"name":"south","region":"trinidad"}`},
		declarer.KindTeam:       {"shifts", `{"name":"shifts","quota":{"processors":10,"memory":"10GiB"}}`},
		declarer.KindBatchJob:   {"roster", `{"name":"roster","team":"shifts","size":{"processors":1,"memory":"1GiB"},"run-time":"10s","idempotent":true}`},
	}
	c := &schema.Change{Operator: "ana"}
	for kind, d := range documents {
		c.Items = append(c.Items, &schema.ChangeItem{Kind: string(kind), Name: d[0], Document: []byte(d[1])})
	}
	s, _ := declarer.NewState().Apply(0, c)
	return s
}
