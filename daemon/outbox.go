package daemon

import (
	"sync"

	"google.golang.org/protobuf/proto"

	"galenawharf.example/galenawharf/schema"
)

type (
	// outbox has the records that are on their way into the log. Each is
	// appended until its id was read back; one that is there twice does no
	// harm.
	outbox struct {
		mu      sync.Mutex
		waiting map[string][]*parcel
		sent    map[string]*parcel
	}

	parcel struct {
		stream string
		id     string
		data   []byte
	}
)

const (
	maxBatch = 256
)

func newOutbox() *outbox {
	return &outbox{waiting: map[string][]*parcel{}, sent: map[string]*parcel{}}
}

func (o *outbox) add(stream string, r *schema.Record) {
	data, err := proto.Marshal(r)
	if err != nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waiting[stream] = append(o.waiting[stream], &parcel{stream: stream, id: r.GetId(), data: data})
}

// take gives the next records of a stream to append in one go.
func (o *outbox) take(stream string) []*parcel {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := min(maxBatch, len(o.waiting[stream]))
	batch := o.waiting[stream][:n:n]
	o.waiting[stream] = o.waiting[stream][n:]
	for _, p := range batch {
		o.sent[p.id] = p
	}
	return batch
}

// again puts back what was not read back since it was sent.
func (o *outbox) again(batch []*parcel) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, p := range batch {
		if _, out := o.sent[p.id]; out {
			delete(o.sent, p.id)
			o.waiting[p.stream] = append(o.waiting[p.stream], p)
		}
	}
}

func (o *outbox) confirm(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.sent, id)
}

func (o *outbox) streams() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var names []string
	for s, w := range o.waiting {
		if len(w) > 0 {
			names = append(names, s)
		}
	}
	return names
}
