package conductor_test

import (
	"fmt"
	"time"

	"galenawharf.example/galenawharf/recorder"
)

// leave makes a third of the workers leave for good, at the same time. Their addresses refuse
// connections, or nothing answers there.
func (s *site) leave() {
	for _, id := range s.someWorkers() {
		s.mu.Lock()
		s.left[id] = s.random.intN(2) == 0
		s.mu.Unlock()
		s.pool.Kill(id)
		s.removeEntry(id)
	}
}

// removeEntry removes a worker's registry entry after three heartbeats of silence.
func (s *site) removeEntry(id string) {
	time.AfterFunc((3 * siteHeartbeat).Duration(), func() { s.log.Put("servers", recorder.Item{Key: id}) })
}

// split splits the network: the process of a host and a third of the workers reach only each other.
// These workers reach the registry unless unregistered is set.
func (s *site) split(host string, unregistered bool) {
	for _, id := range s.someWorkers() {
		s.mu.Lock()
		s.reachedBy[id], s.unregistered[id] = s.processes[host], unregistered
		s.mu.Unlock()
		if unregistered {
			s.removeEntry(id)
		}
	}
}

// reached reports whether a process reaches a worker.
func (s *site) reached(p *process, worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if by := s.reachedBy[worker]; by != nil {
		return by == p
	}
	for _, other := range s.reachedBy {
		if other == p {
			return false
		}
	}
	return true
}

// cut cuts a third of the workers off from all daemons for a random time within bounds, in ms.
func (s *site) cut(least, most int) {
	ids := s.someWorkers()
	defer s.disruptions.Begin()()
	for _, id := range ids {
		s.pool.SetPartitioned(id, true)
	}
	s.sleep(least, most)
	for _, id := range ids {
		s.pool.SetPartitioned(id, false)
	}
}

// loseAnswers loses answers of the store during f.
func (s *site) loseAnswers(f func()) {
	defer s.disruptions.Begin()()
	s.losing.Store(true)
	f()
	s.losing.Store(false)
}

// delayOrders makes orders that are sent during f late, and waits until all are carried out.
func (s *site) delayOrders(f func()) {
	defer s.disruptions.Begin()()
	s.late.Store(true)
	f()
	s.late.Store(false)
	s.sleep(2000, 2000)
}

func (s *site) someWorkers() []string {
	var ids []string
	for _, i := range s.random.perm(siteWorkers)[:siteWorkers/3] {
		ids = append(ids, fmt.Sprintf("w%d", i))
	}
	return ids
}

func (s *site) refuses(worker string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left[worker]
}
