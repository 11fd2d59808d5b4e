package provider

import (
	"context"

	"galenawharf.example/galenawharf/sizer"
)

type (
	// Role is what a host is for.
	Role string

	// Host is one entry of the platform's list.
	Host struct {
		Name       string `json:"name"`
		Role       Role   `json:"role"`
		Address    string `json:"address"`
		DataCentre string `json:"data-centre"`
		Rack       string `json:"rack"`
		// Capacity is that of a worker.
		Capacity sizer.Document `json:"capacity"`
		// Service is the service that an executor serves.
		Service string `json:"service,omitempty"`
		// Slots and Connections are the limits of an executor.
		Slots       int  `json:"slots,omitempty"`
		Connections int  `json:"connections,omitempty"`
		Leaving     bool `json:"leaving,omitempty"`
	}

	// Hosts is the platform's list of live and leaving hosts. It lags, and may
	// be wrong both ways.
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
