package demonstrator

import (
	"context"
	"embed"
	"fmt"
	"os"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/schema"
	"galenawharf.example/galenawharf/sizer"
)

var _ embed.FS

func TestThinPath(t *testing.T) {
	ctx := context.Background()
	f, _ := os.Create("/tmp/log/thin.log")
	d, err := Start(Shape{DataCentres: []string{"san-fernando", "point-fortin"}, Daemons: []int{2, 1}, Workers: 4, Executors: 2, Capacity: sizer.New(32000, 120*sizer.GiB, 0), Service: "fault-reporting"}, f)
	must.NoError(t, err)
	defer d.Close()
	data, err := os.ReadFile("declarations/crossguard.json")
	must.NoError(t, err)
	items, faults := declarer.ParseFile(data)
	must.Len(t, 0, faults)
	c := declarer.ChangeOf("ana", declarer.Plan(nil, items, false))
	r, err := d.Operators(0).Apply(ctx, connect.NewRequest(&schema.ApplyRequest{Operator: "ana", Items: c.GetItems()}))
	must.NoError(t, err)
	fmt.Println(r.Msg)
	time.Sleep(8 * time.Second)
	a, err := d.Callers(0).Check(ctx, connect.NewRequest(&schema.CheckRequest{RequestId: "1", Team: "trackside", Service: "fault-reporting", Payload: []byte("crossing 7")}))
	must.NoError(t, err)
	fmt.Println(a.Msg)
	s, err := d.Callers(1).Submit(ctx, connect.NewRequest(&schema.SubmitRequest{Key: "review-1", Team: "planning", Job: "fault-review", Payload: []byte("crossing 7"), WaitMillis: 15000}))
	must.NoError(t, err)
	fmt.Println(s.Msg)
	fmt.Println(d.Running("san-fernando"), d.Running("point-fortin"))
	for i := range 3 {
		fmt.Printf("%+v\n", d.Daemon(i))
		break
	}
}
