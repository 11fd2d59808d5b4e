package elector

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/imitator"
	"galenawharf.example/galenawharf/recorder"
)

// TestFailingReadsDoNotKeepDeadLeader guards against a claim that each failed read makes valid again.
func TestFailingReadsDoNotKeepDeadLeader(t *testing.T) {
	const (
		readers = 3
		// maxTakeover is three times what a takeover takes with a store that answers.
		maxTakeover = 3 * (claimTimeout + clock.Second)
	)
	tests := map[string]func(read int) imitator.StoreFault{
		"no read fails": func(int) imitator.StoreFault { return imitator.StoreFine },
		"each third read is refused": func(n int) imitator.StoreFault {
			if n%3 == 2 {
				return imitator.StoreRefuses
			}
			return imitator.StoreFine
		},
		"each second read is refused": func(n int) imitator.StoreFault {
			if n%2 == 1 {
				return imitator.StoreRefuses
			}
			return imitator.StoreFine
		},
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var mu sync.Mutex
				reads := map[string]int{}
				l := imitator.NewKeyedLog(4, func(client, call, _ string) imitator.StoreFault {
					if call != "read" {
						return imitator.StoreFine
					}
					mu.Lock()
					defer mu.Unlock()
					reads[client]++
					return fault(reads[client])
				})
				l.Put(topic, recorder.Item{Key: Key, Value: Claim{Epoch: 4, Host: "dead", Instance: "dead", Renewal: 9}.Encode()})
				elected := make(chan Term, readers)
				for i := range readers {
					name := string(rune('a' + i))
					e := New(l.Client(name), name, name, name, func(ctx context.Context, t Term) {
						elected <- t
						<-ctx.Done()
					})
					defer e.Close()
				}
				time.Sleep(maxTakeover.Duration())
				must.Positive(t, len(elected), must.Sprint("nobody has taken over from the dead leader"))
			})
		})
	}
}
