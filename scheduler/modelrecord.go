package scheduler

import (
	"encoding/json"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
)

type (
	// modelsRecord is the stored form of the models: all sensitivities and the selected
	// period.
	modelsRecord struct {
		Images map[string]modelRecord `json:"images"`
		// Period is the index of the selected period in candidatePeriods.
		Period int `json:"period"`
	}

	// modelRecord is the stored form of a sensitivity, with its weights and evidence by
	// filler image.
	modelRecord struct {
		Weights  map[string]float64 `json:"weights"`
		Evidence map[string]float64 `json:"evidence"`
	}
)

const (
	// modelKey is the key of the stored models, which the next leader loads. If their
	// form changes, they need a new key.
	modelKey = "headroom"
	// modelStoreInterval is the least time between two batches with the models. A change
	// of leader loses what was learnt since the last one.
	modelStoreInterval = 2 * clock.Second
	// inheritedVariance is the variance of loaded weights. It is large enough for the new
	// leader to correct them.
	inheritedVariance = 1.0
)

// encodeModels returns the stored form of all models.
func (s *Scheduler) encodeModels() ([]byte, error) {
	out := modelsRecord{Images: map[string]modelRecord{}, Period: s.periodSelector.best}
	for image, m := range s.sensitivities {
		r := modelRecord{Weights: map[string]float64{}, Evidence: map[string]float64{}}
		for filler, i := range m.index {
			r.Weights[filler], r.Evidence[filler] = m.weights[i], m.evidence[i]
		}
		out.Images[image] = r
	}
	b, err := json.Marshal(out)
	return b, errors.Wrap(err, "scheduler.encodeModels")
}

// loadModels restores the models that a former leader stored.
func (s *Scheduler) loadModels(b []byte) error {
	var in modelsRecord
	if err := json.Unmarshal(b, &in); err != nil {
		return errors.Wrap(err, "scheduler.loadModels")
	}
	s.periodSelector.prefer(in.Period)
	for image, r := range in.Images {
		m := s.sensitivityOf(image)
		for filler, w := range r.Weights {
			i := m.indexOf(filler)
			m.weights[i], m.evidence[i] = w, r.Evidence[filler]
			m.covariance[i][i] = inheritedVariance
		}
	}
	return nil
}
