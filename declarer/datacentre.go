package declarer

import "cmp"

type (
	// DataCentre is a site with its own entry hosts and workers.
	DataCentre struct {
		Name   string `json:"name"`
		Region string `json:"region"`
		// Shards is the number of shards that its racks are divided into, each
		// owned by one daemon. It can't change once declared, since work is
		// assigned to shards.
		Shards int `json:"shards"`
	}
)

const (
	// MaxShards is the maximum number of shards of one data centre.
	MaxShards = 64
)

// Defaults sets the default of each omitted field: one shard.
func (d *DataCentre) Defaults() { d.Shards = cmp.Or(d.Shards, 1) }

// Validate adds every error in d to v.
func (d DataCentre) Validate(v *Validator) {
	v.name("name", d.Name)
	v.name("region", d.Region)
	v.between("shards", int64(d.Shards), 1, MaxShards)
}
