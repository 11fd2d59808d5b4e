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

// TestRestartAfterLogRetention discards the records that snapshots contain and restarts
// every daemon. The daemons must restore their state from the snapshots: a job that was
// submitted before must not run again under its key, and a new job must run.
func TestRestartAfterLogRetention(t *testing.T) {
	s := startDeployment(t, "sorica", "scheduling", func(sh *Config) { sh.SnapshotRecords = 10 })
	s.submit(0, "invoice-1", "billing", "invoice")
	must.Eq(t, int32(coder.OK), s.await(0, "invoice-1").GetResultCode())
	for _, dc := range s.config.DataCentres {
		s.eventually(func() bool { return s.discardSnapshotted(dc) })
	}
	for n := range s.daemons {
		s.Daemon(n).Kill()
		s.RemoveDaemon(n)
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
	must.Eq(t, 1, s.startCount("invoice-1"))
	must.Eq(t, 1, s.startCount("invoice-2"))
	s.requireNoOvercommit()
}

// discardSnapshotted discards the records of a data centre that its newest snapshot
// contains, and the first record of the stream of submissions, which that snapshot
// contains too. As long as there is no snapshot that contains a submission, it submits a
// job and returns false.
func (s *testDeployment) discardSnapshotted(dc string) bool {
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
	snapshot, complete := a.Newest()
	state := &schema.DataCentreState{}
	must.NoError(s.t, proto.Unmarshal(snapshot.Data(), state))
	if !complete || state.GetIntentsNext() == 0 {
		// A snapshot is written after SnapshotRecords records, so add some.
		s.submit(0, "roster-"+dc+page.Next.String(), "rosters", "roster")
		return false
	}
	s.Log().Discard(provider.StreamOf(dc), snapshot.Base())
	s.Log().Discard(provider.StreamIntents, 1)
	return true
}
