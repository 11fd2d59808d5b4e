package claimer

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"galenawharf.example/galenawharf/provider"
	"galenawharf.example/galenawharf/schema"
)

func claimBy(holder string, previousEpoch, previousSequence int64) *schema.Record {
	return &schema.Record{Body: &schema.Record_Claim{Claim: &schema.Claim{Shard: "a/0", PreviousEpoch: previousEpoch, PreviousSequence: previousSequence, Holder: holder}}}
}

func renewalIn(epoch, sequence int64) *schema.Record {
	return &schema.Record{Body: &schema.Record_Renewal{Renewal: &schema.Renewal{Shard: "a/0", Epoch: epoch, Sequence: sequence}}}
}

func releaseIn(epoch int64) *schema.Record {
	return &schema.Record{Body: &schema.Record_Release{Release: &schema.Release{Shard: "a/0", Epoch: epoch}}}
}

func taskEventIn(epoch int64) *schema.Record {
	return &schema.Record{Body: &schema.Record_Task{Task: &schema.TaskEvent{Shard: "a/0", Epoch: epoch}}}
}

// TestLedger tests which records are valid, and the epoch and holder that result.
func TestLedger(t *testing.T) {
	tests := map[string]struct {
		records []*schema.Record
		valid   []bool
		epoch   int64
		holder  string
	}{
		"first of two claims is valid": {records: []*schema.Record{claimBy("x", -1, 0), claimBy("y", -1, 0), taskEventIn(1), taskEventIn(0)}, valid: []bool{true, false, false, true}, epoch: 0, holder: "x"},
		"claim after the last renewal": {records: []*schema.Record{claimBy("x", -1, 0), renewalIn(0, 1), claimBy("y", 0, 1), renewalIn(0, 2), taskEventIn(0)}, valid: []bool{true, true, true, false, false}, epoch: 2, holder: "y"},
		"claim that missed a renewal":  {records: []*schema.Record{claimBy("x", -1, 0), renewalIn(0, 1), claimBy("y", 0, 0), taskEventIn(0)}, valid: []bool{true, true, false, true}, epoch: 0, holder: "x"},
		"renewal sent twice":           {records: []*schema.Record{claimBy("x", -1, 0), renewalIn(0, 1), renewalIn(0, 1)}, valid: []bool{true, true, false}, epoch: 0, holder: "x"},
		"release":                      {records: []*schema.Record{claimBy("x", -1, 0), releaseIn(0), releaseIn(0), renewalIn(0, 1), taskEventIn(0)}, valid: []bool{true, true, false, false, false}, epoch: NoEpoch},
		"claim after release":          {records: []*schema.Record{claimBy("x", -1, 0), renewalIn(0, 1), releaseIn(0), claimBy("y", 0, 0)}, valid: []bool{true, true, true, true}, epoch: 3, holder: "y"},
		"shard never claimed":          {records: []*schema.Record{claimBy("x", 5, 0), releaseIn(-1), renewalIn(-1, 1), taskEventIn(-1)}, valid: []bool{false, false, false, false}, epoch: NoEpoch},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLedger()
			for n, r := range tc.records {
				must.Eq(t, tc.valid[n], l.Observe(provider.Offset(n), r), must.Sprint(n))
			}
			must.Eq(t, tc.epoch, l.Epoch("a/0"))
			must.Eq(t, tc.holder, l.Holder("a/0"))
			for _, o := range []provider.Offset{0, l.Next() - 1, l.Next() + 1} {
				must.False(t, l.Observe(o, claimBy("z", tc.epoch, 0)), must.Sprint("offset is not the next one"))
			}
		})
	}
}

// TestSkip guards against a record that can't be decoded blocking the ones after it, and
// against skipping back.
func TestSkip(t *testing.T) {
	l := NewLedger()
	must.True(t, l.Observe(0, claimBy("x", NoEpoch, 0)))
	must.False(t, l.Observe(2, renewalIn(0, 1)))
	l.Skip(2)
	must.True(t, l.Observe(2, renewalIn(0, 1)))
	l.Skip(1)
	must.Eq(t, provider.Offset(3), l.Next())
}

// TestLedgerRestored guards against snapshots that change which later records are valid.
// A ledger restored from snapshots of the shards, each taken at its own offset, must agree
// with one that read every record.
func TestLedgerRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reference, restored := NewLedger(), NewLedger()
		records := drawRecords(t)
		baseOffsets := map[string]int{}
		for _, s := range []string{"a/0", "a/1"} {
			baseOffsets[s] = rapid.IntRange(0, len(records)-1).Draw(t, s)
		}
		lowestBase := min(baseOffsets["a/0"], baseOffsets["a/1"])
		valid := make([]bool, len(records))
		for n, r := range records {
			for s, baseOffset := range baseOffsets {
				if n == baseOffset {
					restored.Restore(reference.Ownership(s), provider.Offset(n))
				}
			}
			valid[n] = reference.Observe(provider.Offset(n), r)
		}
		restored.Skip(provider.Offset(lowestBase))
		for n := lowestBase; n < len(records); n++ {
			got := restored.Observe(provider.Offset(n), records[n])
			must.Eq(t, valid[n] && n >= baseOffsets[recordShard(records[n])], got)
		}
		for s := range baseOffsets {
			must.Eq(t, reference.Epoch(s), restored.Epoch(s))
		}
	})
}

func drawRecords(t *rapid.T) []*schema.Record {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) *schema.Record {
		e := rapid.Int64Range(-1, 6).Draw(t, "epoch")
		s := rapid.Int64Range(0, 3).Draw(t, "sequence")
		r := drawRecord(t, e, s)
		if rapid.Bool().Draw(t, "other shard") {
			setShard(r, "a/1")
		}
		return r
	}), 1, 30).Draw(t, "records")
}

func drawRecord(t *rapid.T, epoch, sequence int64) *schema.Record {
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		return claimBy("x", epoch, sequence)
	case 1:
		return renewalIn(epoch, sequence)
	case 2:
		return releaseIn(epoch)
	}
	return taskEventIn(epoch)
}

func setShard(r *schema.Record, shard string) {
	switch b := r.GetBody().(type) {
	case *schema.Record_Claim:
		b.Claim.Shard = shard
	case *schema.Record_Renewal:
		b.Renewal.Shard = shard
	case *schema.Record_Release:
		b.Release.Shard = shard
	case *schema.Record_Task:
		b.Task.Shard = shard
	}
}
