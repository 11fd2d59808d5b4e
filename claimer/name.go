// Package claimer decides which daemon owns a shard of a data centre's
// workers, by records in the log, and until when it may act.
package claimer

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// ShardName gives the name of a data centre's shard of a number.
func ShardName(dataCentre string, number int) string {
	return dataCentre + "/" + strconv.Itoa(number)
}

// ShardOf gives the shard of a rack in a data centre of so many shards.
func ShardOf(dataCentre, rack string, shards int) string {
	if shards < 1 {
		shards = 1
	}
	return ShardName(dataCentre, int(xxhash.Sum64String(rack)%uint64(shards)))
}

// DataCentreOf gives the data centre of a shard.
func DataCentreOf(shard string) string {
	dc, _, _ := strings.Cut(shard, "/")
	return dc
}
