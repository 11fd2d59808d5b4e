package declarer

import (
	"cmp"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/sizer"
)

type (
	// Service is latency-critical work whose replicas run until it is deleted.
	Service struct {
		Name     string         `json:"name"`
		Team     string         `json:"team"`
		Replicas int            `json:"replicas"`
		Size     sizer.Document `json:"size"`
		// LatencyTarget is the target for the 99th percentile latency of
		// requests.
		LatencyTarget clock.Millis `json:"latency-target"`
		// Class groups work whose interference on shared workers is learned
		// together.
		Class    string `json:"class"`
		Priority int    `json:"priority"`
		// Limits of the requests to the service.
		Limits RequestLimits `json:"request-limits"`
	}

	// RequestLimits are the admission limits for requests to a service, applied by
	// each daemon separately.
	RequestLimits struct {
		// Concurrent is the maximum number of requests in flight.
		Concurrent int `json:"concurrent"`
		// PerSecond is the maximum number of requests accepted per second.
		PerSecond int `json:"per-second"`
		// Queue is the maximum number of waiting requests.
		Queue int `json:"queue"`
	}
)

const (
	// MaxReplicas is the maximum number of replicas of one service.
	MaxReplicas = 10_000
	// MaxPriority is the highest priority; 0 is the lowest.
	MaxPriority = 100

	defaultConcurrent = 256
	defaultPerSecond  = 2_000
	defaultQueue      = 512
	defaultPriority   = 50
)

// Defaults sets the default of each omitted field.
func (s *Service) Defaults() {
	s.Class = cmp.Or(s.Class, "service")
	s.Replicas = cmp.Or(s.Replicas, 1)
	s.Priority = cmp.Or(s.Priority, defaultPriority)
	s.Limits.Concurrent = cmp.Or(s.Limits.Concurrent, defaultConcurrent)
	s.Limits.PerSecond = cmp.Or(s.Limits.PerSecond, defaultPerSecond)
	s.Limits.Queue = cmp.Or(s.Limits.Queue, defaultQueue)
}

// Validate adds every error in s to v.
func (s Service) Validate(v *Validator) {
	v.name("name", s.Name)
	v.name("team", s.Team)
	v.name("class", s.Class)
	v.between("replicas", int64(s.Replicas), 1, MaxReplicas)
	v.taskSize("size", s.Size)
	v.atLeast("latency-target", int64(s.LatencyTarget), 1)
	v.between("priority", int64(s.Priority), 0, MaxPriority)
	v.atLeast("request-limits.concurrent", int64(s.Limits.Concurrent), 1)
	v.atLeast("request-limits.per-second", int64(s.Limits.PerSecond), 1)
	v.atLeast("request-limits.queue", int64(s.Limits.Queue), 1)
}
