package declarer

import "cmp"

type (
	// DataCentre is a place with its own entry hosts and workers.
	DataCentre struct {
		Name   string `json:"name"`
		Region string `json:"region"`
		// Shards is the number of parts that its racks are divided into,
		// each with one owner. It is fixed once declared.
		Shards int `json:"shards"`
	}
)

const (
	// MaxShards is the most shards of one data centre.
	MaxShards = 64
)

// Defaults fills what was left out.
func (d *DataCentre) Defaults() { d.Shards = cmp.Or(d.Shards, 1) }

// Validate gives every fault of d.
func (d DataCentre) Validate(v *Validator) {
	v.name("name", d.Name)
	v.name("region", d.Region)
	v.between("shards", int64(d.Shards), 1, MaxShards)
}
