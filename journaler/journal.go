package journaler

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/schema"
)

type (
	// Journal batches records for the log and retries them until they are read back. It
	// is not safe for concurrent use.
	Journal struct {
		pending         map[string]*pendingRecord
		inFlight        map[int64]Batch
		lastSequence    int64
		lastBatchNumber int64
		rng             *rand.Rand

		flushAfter       clock.Millis
		minRetryDelay    clock.Millis
		maxRetryDelay    clock.Millis
		appendsPerSecond int
		maxBatchBytes    int

		currentSecond clock.Millis
		appendsLeft   int
		stats         Stats
		backoffs      map[string]backoff
	}

	// Option configures a Journal.
	Option func(*Journal)

	// Batch is an append to carry out: records of one stream.
	Batch struct {
		number  int64
		stream  string
		ids     []string
		records [][]byte
	}

	// Stats are the totals of the appends that Step returned, retries included.
	Stats struct {
		appends int64
		records int64
		bytes   int64
		retries int64
	}

	// pendingRecord is a record that was not read back yet.
	pendingRecord struct {
		stream   string
		id       string
		data     []byte
		sequence int64
		due      clock.Millis
		sent     bool
	}

	// backoff is the state of the delay after failed appends to a stream.
	backoff struct {
		failures int
		until    clock.Millis
	}
)

const (
	defaultFlushAfter       = 20 * clock.Millis(1)
	defaultMinRetryDelay    = 250 * clock.Millis(1)
	defaultMaxRetryDelay    = 5 * clock.Second
	defaultAppendsPerSecond = 40
	defaultMaxBatchBytes    = 256 << 10
)

// New returns an empty journal. The seed is for the random part of the retry delays.
func New(seed uint64, opts ...Option) *Journal {
	j := &Journal{
		pending:          map[string]*pendingRecord{},
		inFlight:         map[int64]Batch{},
		backoffs:         map[string]backoff{},
		rng:              rand.New(rand.NewPCG(seed, 0)),
		flushAfter:       defaultFlushAfter,
		minRetryDelay:    defaultMinRetryDelay,
		maxRetryDelay:    defaultMaxRetryDelay,
		appendsPerSecond: defaultAppendsPerSecond,
		maxBatchBytes:    defaultMaxBatchBytes,
		currentSecond:    -1,
	}
	for _, o := range opts {
		o(j)
	}
	return j
}

// WithFlushAfter sets how long a record waits to be batched with others.
func WithFlushAfter(m clock.Millis) Option { return func(j *Journal) { j.flushAfter = m } }

// WithRetryDelays sets the delay before the first retry and the limit that it grows to
// while appends fail. A random part of up to half is taken off.
func WithRetryDelays(shortest, longest clock.Millis) Option {
	return func(j *Journal) {
		j.minRetryDelay = shortest
		j.maxRetryDelay = longest
	}
}

// WithAppendsPerSecond limits the appends in each second, over all streams.
func WithAppendsPerSecond(n int) Option { return func(j *Journal) { j.appendsPerSecond = n } }

// WithMaxBatchBytes limits the size of the records in one append; a larger record goes
// alone.
func WithMaxBatchBytes(n int) Option { return func(j *Journal) { j.maxBatchBytes = n } }

// Add adds a record for a stream. The record needs an id; if a record with the same id is
// pending, it is ignored. If the record can't be encoded, the error has the code Malformed.
func (j *Journal) Add(now clock.Millis, stream string, r *schema.Record) error {
	if _, known := j.pending[r.GetId()]; known {
		return nil
	}
	data, err := proto.Marshal(r)
	if err != nil {
		return coder.New(coder.Malformed, "Journal.Add: encode record: %v", err)
	}
	j.lastSequence++
	j.pending[r.GetId()] = &pendingRecord{stream: stream, id: r.GetId(), data: data, sequence: j.lastSequence, due: now + j.flushAfter}
	return nil
}

// MarkRead marks a record as read back, which ends its retries.
func (j *Journal) MarkRead(id string) { delete(j.pending, id) }

// Retain forgets the pending records for which keep returns false, such as records of an
// ownership epoch that has ended. They may have been appended already.
func (j *Journal) Retain(keep func(id string) bool) {
	for id := range j.pending {
		if !keep(id) {
			delete(j.pending, id)
		}
	}
}

// Len returns the number of pending records: added, but not read back yet.
func (j *Journal) Len() int { return len(j.pending) }

// Stats returns the counts so far.
func (j *Journal) Stats() Stats { return j.stats }

// Step returns the appends to carry out now. The caller passes the outcome of each to
// Done.
func (j *Journal) Step(now clock.Millis) []Batch {
	if s := now / clock.Second; s != j.currentSecond {
		j.currentSecond = s
		j.appendsLeft = j.appendsPerSecond
	}
	var due []Batch
	for _, stream := range j.dueStreams(now) {
		if j.appendsLeft == 0 {
			break
		}
		j.appendsLeft--
		due = append(due, j.nextBatch(now, stream))
	}
	return due
}

// dueStreams returns the sorted names of the streams that have a due record, no append in
// flight and no backoff.
func (j *Journal) dueStreams(now clock.Millis) []string {
	excluded := map[string]bool{}
	for _, b := range j.inFlight {
		excluded[b.stream] = true
	}
	var names []string
	for _, w := range j.pending {
		if !excluded[w.stream] && w.due <= now && j.backoffs[w.stream].until <= now {
			excluded[w.stream] = true
			names = append(names, w.stream)
		}
	}
	slices.Sort(names)
	return names
}

// nextBatch returns an append of a stream's records, oldest first. New records that are
// not due yet are included, since the append is made anyway.
func (j *Journal) nextBatch(now clock.Millis, stream string) Batch {
	var ready []*pendingRecord
	for _, w := range j.pending {
		if w.stream == stream && (!w.sent || w.due <= now) {
			ready = append(ready, w)
		}
	}
	slices.SortFunc(ready, func(a, b *pendingRecord) int { return cmp.Compare(a.sequence, b.sequence) })
	j.lastBatchNumber++
	b := Batch{number: j.lastBatchNumber, stream: stream}
	size := 0
	for _, w := range ready {
		if size += len(w.data); size > j.maxBatchBytes && len(b.records) > 0 {
			break
		}
		if w.sent {
			j.stats.retries++
		}
		w.sent = true
		w.due = now + j.jitter(j.minRetryDelay)
		b.ids = append(b.ids, w.id)
		b.records = append(b.records, w.data)
		j.stats.records++
		j.stats.bytes += int64(len(w.data))
	}
	j.stats.appends++
	j.inFlight[b.number] = b
	return b
}

// Done handles the outcome of an append. After the errors LogDown and RateLimited, nothing
// was appended and the records are due as soon as the stream's backoff ends. After any
// other outcome, they are retried if they aren't read back in time. While appends to a
// stream fail, the delay before its next append doubles.
func (j *Journal) Done(now clock.Millis, number int64, err error) {
	b, known := j.inFlight[number]
	if !known {
		return
	}
	delete(j.inFlight, number)
	if err == nil {
		delete(j.backoffs, b.stream)
		return
	}
	streamBackoff := j.backoffs[b.stream]
	streamBackoff.failures++
	wait := min(j.minRetryDelay<<min(streamBackoff.failures-1, 8), j.maxRetryDelay)
	streamBackoff.until = now + j.jitter(wait)
	j.backoffs[b.stream] = streamBackoff
	switch coder.Of(err) {
	case coder.LogDown, coder.RateLimited:
		for _, id := range b.ids {
			if w := j.pending[id]; w != nil {
				w.due = now
			}
		}
	}
}

// jitter returns a random time between half of d and d.
func (j *Journal) jitter(d clock.Millis) clock.Millis {
	return d/2 + clock.Millis(j.rng.Int64N(int64(d/2)+1))
}

// Number returns the number that identifies the batch to Done.
func (b Batch) Number() int64 { return b.number }

// Stream returns the stream to append to.
func (b Batch) Stream() string { return b.stream }

// Records returns the encoded records to append.
func (b Batch) Records() [][]byte { return b.records }

// IDs returns the ids of the records, in the order of Records.
func (b Batch) IDs() []string { return b.ids }

// Appends returns how many appends Step has returned.
func (s Stats) Appends() int64 { return s.appends }

// Records returns how many records those appends had, each retry counted.
func (s Stats) Records() int64 { return s.records }

// Bytes returns the total size of the records.
func (s Stats) Bytes() int64 { return s.bytes }

// Retries returns how many of the records had been sent before.
func (s Stats) Retries() int64 { return s.retries }
