package declarer

import "strings"

type (
	// Drain takes a data centre or a host out of service while it stands.
	Drain struct {
		// Name is "data-centre.<name>" or "host.<name>".
		Name string `json:"name"`
	}
)

const (
	drainDataCentre = "data-centre."
	drainHost       = "host."
)

// DrainOfDataCentre names the drain of a data centre.
func DrainOfDataCentre(name string) string { return drainDataCentre + name }

// DrainOfHost names the drain of a host.
func DrainOfHost(name string) string { return drainHost + name }

// Validate gives every fault of d.
func (d Drain) Validate(v *Validator) {
	if !strings.HasPrefix(d.Name, drainDataCentre) && !strings.HasPrefix(d.Name, drainHost) {
		v.badFormat("name", "must begin with %q or %q", drainDataCentre, drainHost)
		return
	}
	v.name("name", d.Name)
}
