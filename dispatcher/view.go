package dispatcher

import (
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/provider"
)

type (
	// View lists the executors, entry hosts, services and data centres that a daemon has
	// read from the platform and the declarations. It is immutable.
	View struct {
		executors   []provider.Host
		entries     []provider.Host
		services    []declarer.Service
		dataCentres []declarer.DataCentre
	}
)

// NewView returns a view. An executor with Leaving set gets no requests, for example because
// its data centre was taken out of service. entries are the entry hosts that are alive.
func NewView(executors, entries []provider.Host, services []declarer.Service, dataCentres []declarer.DataCentre) *View {
	return &View{executors: executors, entries: entries, services: services, dataCentres: dataCentres}
}

// Executors returns all executors, leaving ones included.
func (v *View) Executors() []provider.Host { return v.executors }

// Entries returns the entry hosts that are alive.
func (v *View) Entries() []provider.Host { return v.entries }

// Services returns the declared services.
func (v *View) Services() []declarer.Service { return v.services }

// DataCentres returns the declared data centres.
func (v *View) DataCentres() []declarer.DataCentre { return v.dataCentres }
