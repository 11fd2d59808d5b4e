package scheduler

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

type (
	// chunk identifies a set of up to chunkSize tasks of one step that are stored together. The
	// record of a whole job is stored when the job changes as such; a change of a task only
	// stores its chunk.
	chunk struct{ occurrence, step, number int }

	// chunkRecord is the stored form of a chunk. It replaces the tasks in a record of the whole
	// job with a lower version.
	chunkRecord struct {
		Version int64        `json:"v"`
		Tasks   []taskRecord `json:"t"`
	}
)

const (
	// chunkPrefix sorts before jobPrefix, so that the chunks of a job are loaded before it.
	chunkPrefix = "chunk/"
	// chunkSize balances what is stored for one change against the number of records.
	chunkSize = 8
)

func (t *task) chunk() chunk { return chunk{t.occurrence.number, t.step, t.index / chunkSize} }

func (c chunk) key(job string) string {
	return chunkPrefix + job + "." + strconv.Itoa(c.occurrence) + "." + strconv.Itoa(c.step) + "." + strconv.Itoa(c.number)
}

// appendRecords appends the records that store the changes of a job since the last call: the whole
// job if it changed as such, else the chunks of the tasks that have changed.
func (s *Scheduler) appendRecords(rs []Record, j *job) []Record {
	j.version++
	changed := map[chunk]struct{}{}
	j.eachTask(func(t *task) {
		if t.attempt == 0 {
			return
		}
		if r := t.record(); r != t.stored {
			t.stored = r
			changed[t.chunk()] = struct{}{}
		}
	})
	if h := j.head(); h != j.storedHead {
		j.storedHead = h
		rs = append(rs, Record{Key: jobKey(j.spec.ID), Value: encode(j)})
		for _, k := range j.chunkKeys {
			rs = append(rs, Record{Key: k})
		}
		j.chunkKeys = nil
		return rs
	}
	for c := range changed {
		key := c.key(j.spec.ID)
		if !slices.Contains(j.chunkKeys, key) {
			j.chunkKeys = append(j.chunkKeys, key)
		}
		rs = append(rs, Record{Key: key, Value: marshal(chunkRecord{Version: j.version, Tasks: j.chunkTasks(c)})})
	}
	return rs
}

// chunkTasks returns the stored forms of the tasks of a chunk that have had a run.
func (j *job) chunkTasks(c chunk) []taskRecord {
	ts := j.occurrences[c.occurrence].steps[c.step]
	var rs []taskRecord
	for _, t := range ts[c.number*chunkSize : min((c.number+1)*chunkSize, len(ts))] {
		if t.attempt > 0 {
			rs = append(rs, t.stored)
		}
	}
	return rs
}

// loadChunk keeps a chunk until its job is loaded.
func (s *Scheduler) loadChunk(key string, value []byte) error {
	var r chunkRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.Wrapf(err, "scheduler.Load: record %q", key)
	}
	id, _, _ := strings.Cut(strings.TrimPrefix(key, chunkPrefix), ".")
	if s.loadedChunks == nil {
		s.loadedChunks = map[string]map[string]chunkRecord{}
	}
	if s.loadedChunks[id] == nil {
		s.loadedChunks[id] = map[string]chunkRecord{}
	}
	s.loadedChunks[id][key] = r
	return nil
}

// mergeChunks replaces the tasks in a record of a whole job by those of newer chunks.
func (s *Scheduler) mergeChunks(j *job, r *jobRecord) {
	j.version = r.Version
	var newer []taskRecord
	replaced := map[TaskName]bool{}
	for key, c := range s.loadedChunks[r.Spec.ID] {
		j.chunkKeys = append(j.chunkKeys, key)
		if c.Version <= r.Version {
			continue
		}
		j.version = max(j.version, c.Version)
		for _, t := range c.Tasks {
			replaced[TaskName{Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}] = true
		}
		newer = append(newer, c.Tasks...)
	}
	delete(s.loadedChunks, r.Spec.ID)
	if newer == nil {
		return
	}
	kept := slices.DeleteFunc(r.Tasks, func(t taskRecord) bool {
		return replaced[TaskName{Occurrence: t.Occurrence, Step: t.Step, Index: t.Index}]
	})
	r.Tasks = append(kept, newer...)
}

// dropOrphanedChunks deletes the loaded chunks whose jobs do not exist any more.
func (s *Scheduler) dropOrphanedChunks() {
	for _, cs := range s.loadedChunks {
		for key := range cs {
			s.deletedKeys = append(s.deletedKeys, key)
		}
	}
	s.loadedChunks = nil
}
