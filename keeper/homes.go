package keeper

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/declarer"
)

// HomeOf returns the shard to which a new submission with a key is assigned, "" if every
// data centre is drained. The result depends only on the configuration and the key.
func HomeOf(s *declarer.State, key string) string {
	available := undrained(s, s.DataCentres())
	if len(available) == 0 {
		return ""
	}
	return shardIn(byPreference(key, available)[0], key)
}

// homeOfReplica returns the shard of replica n of a service, "" if every data centre is
// drained. Replicas are spread evenly over the data centres. Draining a data centre moves
// only its own replicas.
func homeOfReplica(s *declarer.State, service string, n int) string {
	all := byPreference(service, s.DataCentres())
	if len(all) == 0 {
		return ""
	}
	d := all[n%len(all)]
	if s.DataCentreDrained(d.Name) {
		available := undrained(s, all)
		if len(available) == 0 {
			return ""
		}
		d = available[(n%len(all)+n/len(all))%len(available)]
	}
	return shardIn(d, replicaName(service, n))
}

// undrained returns the data centres that are not drained.
func undrained(s *declarer.State, all []declarer.DataCentre) []declarer.DataCentre {
	available := make([]declarer.DataCentre, 0, len(all))
	for _, d := range all {
		if !s.DataCentreDrained(d.Name) {
			available = append(available, d)
		}
	}
	return available
}

// byPreference sorts data centres by rendezvous hash of the key, highest first.
func byPreference(key string, all []declarer.DataCentre) []declarer.DataCentre {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b declarer.DataCentre) int {
		return cmp.Compare(score(key, b.Name), score(key, a.Name))
	})
	return sorted
}

// shardIn returns the shard of a data centre with the highest rendezvous hash of the key.
func shardIn(d declarer.DataCentre, key string) string {
	best := 0
	for n := range shardCount(d) {
		if score(key, claimer.ShardName(d.Name, n)) > score(key, claimer.ShardName(d.Name, best)) {
			best = n
		}
	}
	return claimer.ShardName(d.Name, best)
}

func shardCount(d declarer.DataCentre) int { return max(d.Shards, 1) }

func score(key, place string) uint64 { return xxhash.Sum64String(key + "\x00" + place) }

func replicaName(service string, n int) string {
	return prefixService + service + "/" + strconv.Itoa(n)
}
