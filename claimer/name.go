// Package claimer elects the daemon that owns a shard of a data centre's workers. Claims,
// renewals and releases are records in the log; a holder that can't reach the log extends
// its authority by promises of the daemons that could claim the shard.
//
// An identity names one process of a daemon. The holder of a shard is the process whose
// valid claim is the newest, until it is released; the offset of that claim is the shard's
// epoch. A holder has authority, the right to act on the shard, only until its claim or the
// promises expire. The claimants that a claim or renewal lists are the processes that the
// holder asks for promises.
package claimer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ShardName returns the name of a shard, DATACENTRE/NUMBER. Numbers start at 0.
func ShardName(dataCentre string, number int) string {
	return dataCentre + "/" + strconv.Itoa(number)
}

// ShardOf returns the name of the shard that a rack belongs to, by the hash of the rack's
// name. A number of shards below 1 is taken as 1.
func ShardOf(dataCentre, rack string, shards int) string {
	if shards < 1 {
		shards = 1
	}
	return ShardName(dataCentre, int(xxhash.Sum64String(rack)%uint64(shards)))
}

// DataCentreOf returns the data centre in a shard's name.
func DataCentreOf(shard string) string {
	dc, _, _ := strings.Cut(shard, "/")
	return dc
}
