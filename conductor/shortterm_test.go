package conductor_test

import "testing"

// TestLastingTaskRestartsIfLeaderEndsSoonAfterWorkers guards against a wait that begins with the last
// claim of a leader that ended before it had stored the silence of workers.
func TestLastingTaskRestartsIfLeaderEndsSoonAfterWorkers(t *testing.T) {
	playLasting(t, lastingSeeds, map[string]func(*site){
		"0.7 to 1.2 s": func(s *site) {
			s.leave()
			s.sleep(700, 1200)
			s.takeover()
		},
		"0.7 to 1.2 s, connections stay open": func(s *site) {
			s.withoutReset.Store(true)
			s.leave()
			s.sleep(700, 1200)
			s.takeover()
		},
		"1.2 to 2.4 s, connections stay open": func(s *site) {
			s.withoutReset.Store(true)
			s.leave()
			s.sleep(1200, 2400)
			s.takeover()
		},
		"0.1 to 0.7 s": func(s *site) {
			s.leave()
			s.sleep(100, 700)
			s.takeover()
		},
		"1.2 to 2.4 s": func(s *site) {
			s.leave()
			s.sleep(1200, 2400)
			s.takeover()
		},
	})
}

// TestLastingTaskRestartsOverShortTerms guards against a wait that begins anew with each leader that
// ends before it has stored the silence of workers.
func TestLastingTaskRestartsOverShortTerms(t *testing.T) {
	playLasting(t, lastingSeeds, map[string]func(*site){
		"second leader ends within a second": func(s *site) {
			s.leave()
			s.start(s.takeover())
			s.sleep(100, 700)
			s.takeover()
		},
	})
}
