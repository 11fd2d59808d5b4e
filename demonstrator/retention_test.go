package demonstrator

import (
	"testing"

	"github.com/shoenig/test/must"
	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/journaler"
	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

// TestRetentionPasses: the log discards all that snapshots stand for and every
// daemon is replaced; keys that were used stay taken, and work goes on.
func TestRetentionPasses(t *testing.T) {
	s := stage(t, "sorica", "scheduling", func(sh *Shape) { sh.SnapshotRecords = 10 })
	s.submit(0, "invoice-1", "billing", "invoice")
	must.Eq(t, int32(coder.OK), s.await(0, "invoice-1").GetResultCode())
	for _, dc := range s.shape.DataCentres {
		s.eventually(func() bool { return s.discardCovered(dc) })
	}
	for n := range s.daemons {
		s.Daemon(n).Kill()
		s.Forget(n)
	}
	for n := range s.settings {
		must.NoError(t, s.StartDaemon(n))
	}
	for n := range s.settings {
		s.eventually(func() bool { return s.Ready(n) })
	}
	s.submit(1, "invoice-1", "billing", "invoice")
	must.Eq(t, int32(coder.OK), s.await(1, "invoice-1").GetResultCode())
	s.submit(2, "invoice-2", "billing", "invoice")
	must.Eq(t, int32(coder.OK), s.await(2, "invoice-2").GetResultCode())
	must.Eq(t, 1, s.starts("invoice-1"))
	must.Eq(t, 1, s.starts("invoice-2"))
	s.neverOvercommitted()
}

// discardCovered drops what a snapshot of a data centre stands for, once there
// is one that covers a submission.
func (s *scene) discardCovered(dc string) bool {
	p := s.Log().Provider()
	page, err := p.Read(s.ctx, provider.StreamOf(dc), 0, 1000)
	must.NoError(s.t, err)
	a := journaler.NewAssembler("data-centre")
	for _, e := range page.Entries {
		r, err := journaler.Decode(e)
		must.NoError(s.t, err)
		if c := r.GetSnapshot(); c != nil {
			a.Add(c)
		}
	}
	snapshot, whole := a.Newest()
	state := &schema.DataCentreState{}
	must.NoError(s.t, proto.Unmarshal(snapshot.Data(), state))
	if !whole || state.GetIntentsNext() == 0 {
		// More records make the next snapshot due.
		s.submit(0, "roster-"+dc+page.Next.String(), "rosters", "roster")
		return false
	}
	s.Log().Discard(provider.StreamOf(dc), snapshot.Base())
	s.Log().Discard(provider.StreamIntents, 1)
	return true
}
