package provider

import (
	"context"

	"galenawharf.example/galenawharf/sizer"
)

type (
	// Role is the function of a host: worker, executor or entry host.
	Role string

	// Host is one entry of the platform's list of hosts.
	Host struct {
		Name       string `json:"name"`
		Role       Role   `json:"role"`
		Address    string `json:"address"`
		DataCentre string `json:"data-centre"`
		Rack       string `json:"rack"`
		// Capacity is set for workers.
		Capacity sizer.Document `json:"capacity"`
		// Service is the name of the service that an executor runs checks for.
		Service string `json:"service,omitempty"`
		// Slots is the number of checks that an executor runs at the same time,
		// Connections the number of connections that it accepts.
		Slots       int  `json:"slots,omitempty"`
		Connections int  `json:"connections,omitempty"`
		Leaving     bool `json:"leaving,omitempty"`
	}

	// Hosts returns the platform's list of live and leaving hosts. The list lags: it may
	// still contain dead hosts and miss live ones.
	Hosts struct {
		List func(ctx context.Context) ([]Host, error)
	}
)

// Roles of hosts.
const (
	RoleWorker   Role = "worker"
	RoleExecutor Role = "executor"
	RoleEntry    Role = "entry"
)
