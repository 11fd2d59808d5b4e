package dispatcher

import (
	"galenawharf.example/galenawharf/declarer"
	"galenawharf.example/galenawharf/provider"
)

type (
	// View is what a daemon knows of the world around it. It never changes; a
	// newer one replaces it whole.
	View struct {
		executors   []provider.Host
		entries     []provider.Host
		services    []declarer.Service
		dataCentres []declarer.DataCentre
	}
)

// NewView gives a view of the executors (leaving ones included, with Leaving
// set, as are those of a data centre that is taken out), the entry hosts that
// are alive, the declared services and data centres.
func NewView(executors, entries []provider.Host, services []declarer.Service, dataCentres []declarer.DataCentre) *View {
	return &View{executors: executors, entries: entries, services: services, dataCentres: dataCentres}
}

// Executors gives the executors.
func (v *View) Executors() []provider.Host { return v.executors }

// Entries gives the entry hosts that are alive.
func (v *View) Entries() []provider.Host { return v.entries }

// Services gives the declared services.
func (v *View) Services() []declarer.Service { return v.services }

// DataCentres gives the declared data centres.
func (v *View) DataCentres() []declarer.DataCentre { return v.dataCentres }
