package declarer

type (
	// DataCentre is a place with its own entry hosts and workers.
	DataCentre struct {
		Name   string `json:"name"`
		Region string `json:"region"`
	}
)

// Validate gives every fault of d.
func (d DataCentre) Validate(v *Validator) {
	v.name("name", d.Name)
	v.name("region", d.Region)
}
