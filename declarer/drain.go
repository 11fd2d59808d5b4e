package declarer

import "strings"

type (
	// Drain keeps a data centre or a host out of service for as long as it is
	// declared.
	Drain struct {
		// Name is "data-centre.NAME" or "host.NAME".
		Name string `json:"name"`
	}
)

const (
	drainDataCentre = "data-centre."
	drainHost       = "host."
)

// DrainOfDataCentre returns the name of the drain of a data centre.
func DrainOfDataCentre(name string) string { return drainDataCentre + name }

// DrainOfHost returns the name of the drain of a host.
func DrainOfHost(name string) string { return drainHost + name }

// Validate adds every error in d to v.
func (d Drain) Validate(v *Validator) {
	if !strings.HasPrefix(d.Name, drainDataCentre) && !strings.HasPrefix(d.Name, drainHost) {
		v.badFormat("name", "must begin with %q or %q", drainDataCentre, drainHost)
		return
	}
	v.name("name", d.Name)
}
