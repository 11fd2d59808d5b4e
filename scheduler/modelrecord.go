package scheduler

import (
	"encoding/json"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// modelsRecord is what is stored of all that was learnt.
	modelsRecord struct {
		Images map[string]modelRecord `json:"images"`
		// Period is the index in periods of the one that fits best.
		Period int `json:"period"`
	}

	// modelRecord is what is stored of a sensitivity.
	modelRecord struct {
		Weights  map[string]float64 `json:"weights"`
		Evidence map[string]float64 `json:"evidence"`
	}
)

const (
	// modelKey is where the models are stored, for the next leader. A model of another
	// form gets another key.
	modelKey = "headroom"
	// modelEvery is how often they are: what a leader has learnt within it is lost
	// with the leader.
	modelEvery = 2 * clock.Second
	// inheritedVariance lets a next leader correct what it has taken over.
	inheritedVariance = 1.0
)

// encodeModels returns the stored form of all models.
func (s *Scheduler) encodeModels() ([]byte, error) {
	out := modelsRecord{Images: map[string]modelRecord{}, Period: s.calendar.chosen}
	for image, m := range s.images {
		r := modelRecord{Weights: map[string]float64{}, Evidence: map[string]float64{}}
		for filler, i := range m.index {
			r.Weights[filler], r.Evidence[filler] = m.weights[i], m.evidence[i]
		}
		out.Images[image] = r
	}
	b, err := json.Marshal(out)
	return b, errors.Wrap(err, "scheduler.encodeModels")
}

// loadModels takes over the models of a former leader.
func (s *Scheduler) loadModels(b []byte) error {
	var in modelsRecord
	if err := json.Unmarshal(b, &in); err != nil {
		return errors.Wrap(err, "scheduler.loadModels")
	}
	s.calendar.prefer(in.Period)
	for image, r := range in.Images {
		m := s.sensitivityOf(image)
		for filler, w := range r.Weights {
			i := m.position(filler)
			m.weights[i], m.evidence[i] = w, r.Evidence[filler]
			m.covariance[i][i] = inheritedVariance
		}
	}
	return nil
}
