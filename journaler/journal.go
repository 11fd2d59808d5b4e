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
	// Journal gathers records for the log. It is not safe for concurrent use.
	Journal struct {
		waiting  map[string]*waiting
		inflight map[int64]Batch
		order    int64
		batches  int64
		rng      *rand.Rand

		flushAfter clock.Millis
		retryFirst clock.Millis
		retryLast  clock.Millis
		perSecond  int
		mostBytes  int

		second  clock.Millis
		left    int
		stats   Stats
		backoff map[string]backoff
	}

	// Option sets up a Journal.
	Option func(*Journal)

	// Batch is an append to make: records of one stream.
	Batch struct {
		number  int64
		stream  string
		ids     []string
		records [][]byte
	}

	// Stats count what a journal asked for.
	Stats struct {
		appends int64
		records int64
		bytes   int64
		retries int64
	}

	// waiting is a record that was not read back.
	waiting struct {
		stream string
		id     string
		data   []byte
		order  int64
		due    clock.Millis
		sent   bool
	}

	// backoff is that of a stream whose appends fail.
	backoff struct {
		failures int
		until    clock.Millis
	}
)

const (
	defaultFlushAfter = 20 * clock.Millis(1)
	defaultRetryFirst = 250 * clock.Millis(1)
	defaultRetryLast  = 5 * clock.Second
	defaultPerSecond  = 40
	defaultMostBytes  = 256 << 10
)

// New gives an empty journal whose retries are spread by a seed.
func New(seed uint64, opts ...Option) *Journal {
	j := &Journal{
		waiting:    map[string]*waiting{},
		inflight:   map[int64]Batch{},
		backoff:    map[string]backoff{},
		rng:        rand.New(rand.NewPCG(seed, 0)),
		flushAfter: defaultFlushAfter,
		retryFirst: defaultRetryFirst,
		retryLast:  defaultRetryLast,
		perSecond:  defaultPerSecond,
		mostBytes:  defaultMostBytes,
		second:     -1,
	}
	for _, o := range opts {
		o(j)
	}
	return j
}

// WithFlushAfter sets how long a record waits for others to go with it.
func WithFlushAfter(m clock.Millis) Option { return func(j *Journal) { j.flushAfter = m } }

// WithRetry sets the first and longest time until a record is tried again.
func WithRetry(first, last clock.Millis) Option {
	return func(j *Journal) {
		j.retryFirst = first
		j.retryLast = last
	}
}

// WithAppendsPerSecond bounds the appends of a second.
func WithAppendsPerSecond(n int) Option { return func(j *Journal) { j.perSecond = n } }

// WithMostBytes bounds the records of one append.
func WithMostBytes(n int) Option { return func(j *Journal) { j.mostBytes = n } }

// Add takes a record for a stream. Its id must be set; one that is waiting
// already is passed over.
func (j *Journal) Add(now clock.Millis, stream string, r *schema.Record) error {
	if _, known := j.waiting[r.GetId()]; known {
		return nil
	}
	data, err := proto.Marshal(r)
	if err != nil {
		return coder.New(coder.Malformed, "Journal.Add: %v", err)
	}
	j.order++
	j.waiting[r.GetId()] = &waiting{stream: stream, id: r.GetId(), data: data, order: j.order, due: now + j.flushAfter}
	return nil
}

// Seen notes that a record was read back.
func (j *Journal) Seen(id string) { delete(j.waiting, id) }

// Drop forgets the records that keep is false for, such as those of an epoch
// that is over. They may be in the log all the same.
func (j *Journal) Drop(keep func(id string) bool) {
	for id := range j.waiting {
		if !keep(id) {
			delete(j.waiting, id)
		}
	}
}

// Len gives the number of records that were not read back.
func (j *Journal) Len() int { return len(j.waiting) }

// Stats gives the counts so far.
func (j *Journal) Stats() Stats { return j.stats }

// Step gives the appends to make now. Each is answered by Done.
func (j *Journal) Step(now clock.Millis) []Batch {
	if s := now / clock.Second; s != j.second {
		j.second = s
		j.left = j.perSecond
	}
	var due []Batch
	for _, stream := range j.dueStreams(now) {
		if j.left == 0 {
			break
		}
		j.left--
		due = append(due, j.batch(now, stream))
	}
	return due
}

// dueStreams gives the streams that have a record to go, by name.
func (j *Journal) dueStreams(now clock.Millis) []string {
	busy := map[string]bool{}
	for _, b := range j.inflight {
		busy[b.stream] = true
	}
	var names []string
	for _, w := range j.waiting {
		if !busy[w.stream] && w.due <= now && j.backoff[w.stream].until <= now {
			busy[w.stream] = true
			names = append(names, w.stream)
		}
	}
	slices.Sort(names)
	return names
}

// batch gives an append of all that waits for a stream, oldest first: what is
// not due yet goes along.
func (j *Journal) batch(now clock.Millis, stream string) Batch {
	var all []*waiting
	for _, w := range j.waiting {
		if w.stream == stream && (!w.sent || w.due <= now) {
			all = append(all, w)
		}
	}
	slices.SortFunc(all, func(a, b *waiting) int { return cmp.Compare(a.order, b.order) })
	j.batches++
	b := Batch{number: j.batches, stream: stream}
	size := 0
	for _, w := range all {
		if size += len(w.data); size > j.mostBytes && len(b.records) > 0 {
			break
		}
		if w.sent {
			j.stats.retries++
		}
		w.sent = true
		w.due = now + j.jitter(j.retryFirst)
		b.ids = append(b.ids, w.id)
		b.records = append(b.records, w.data)
		j.stats.records++
		j.stats.bytes += int64(len(w.data))
	}
	j.stats.appends++
	j.inflight[b.number] = b
	return b
}

// Done takes the answer to an append. After an error that says that nothing
// was added, or none that does, the records wait to be read back or tried
// again; a stream whose appends fail is tried less and less often.
func (j *Journal) Done(now clock.Millis, number int64, err error) {
	b, known := j.inflight[number]
	if !known {
		return
	}
	delete(j.inflight, number)
	if err == nil {
		delete(j.backoff, b.stream)
		return
	}
	f := j.backoff[b.stream]
	f.failures++
	wait := min(j.retryFirst<<min(f.failures-1, 8), j.retryLast)
	f.until = now + j.jitter(wait)
	j.backoff[b.stream] = f
	switch coder.Of(err) {
	case coder.LogDown, coder.RateLimited:
		for _, id := range b.ids {
			if w := j.waiting[id]; w != nil {
				w.due = now
			}
		}
	}
}

// jitter gives a time between half of d and d.
func (j *Journal) jitter(d clock.Millis) clock.Millis {
	return d/2 + clock.Millis(j.rng.Int64N(int64(d/2)+1))
}

// Number names the batch for Done.
func (b Batch) Number() int64 { return b.number }

// Stream gives the stream to append to.
func (b Batch) Stream() string { return b.stream }

// Records gives what to append.
func (b Batch) Records() [][]byte { return b.records }

// IDs gives the ids of the records.
func (b Batch) IDs() []string { return b.ids }

// Appends gives the number of appends.
func (s Stats) Appends() int64 { return s.appends }

// Records gives the number of records in them.
func (s Stats) Records() int64 { return s.records }

// Bytes gives the size of the records.
func (s Stats) Bytes() int64 { return s.bytes }

// Retries gives how many of the records had been sent before.
func (s Stats) Retries() int64 { return s.retries }
