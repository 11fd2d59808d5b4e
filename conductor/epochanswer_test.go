package conductor_test

import "testing"

// TestLastingTaskRestartsAfterLostAnswerToEpoch guards against a wait that begins with the new leader's
// own first append if its answer was lost.
func TestLastingTaskRestartsAfterLostAnswerToEpoch(t *testing.T) {
	playLasting(t, lastingSeeds, map[string]func(*site){
		"leader and workers leave": func(s *site) {
			s.losingEpoch.Store(true)
			s.leave()
			s.takeover()
		},
	})
}
