package keeper

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"galenawharf.example/galenawharf/claimer"
	"galenawharf.example/galenawharf/declarer"
)

// HomeOf gives the shard that new work under a key goes to, "" where every
// data centre is drained. Whoever has the same configuration gets the same.
func HomeOf(s *declarer.State, key string) string {
	open := undrained(s, s.DataCentres())
	if len(open) == 0 {
		return ""
	}
	return shardIn(byPreference(key, open)[0], key)
}

// homeOfReplica spreads the replicas of a service evenly over the data
// centres. Draining one moves its replicas and no others.
func homeOfReplica(s *declarer.State, service string, n int) string {
	all := byPreference(service, s.DataCentres())
	if len(all) == 0 {
		return ""
	}
	d := all[n%len(all)]
	if s.DataCentreDrained(d.Name) {
		open := undrained(s, all)
		if len(open) == 0 {
			return ""
		}
		d = open[(n%len(all)+n/len(all))%len(open)]
	}
	return shardIn(d, replicaName(service, n))
}

func undrained(s *declarer.State, all []declarer.DataCentre) []declarer.DataCentre {
	open := make([]declarer.DataCentre, 0, len(all))
	for _, d := range all {
		if !s.DataCentreDrained(d.Name) {
			open = append(open, d)
		}
	}
	return open
}

// byPreference orders data centres by rendezvous hash.
func byPreference(key string, all []declarer.DataCentre) []declarer.DataCentre {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b declarer.DataCentre) int {
		return cmp.Compare(score(key, b.Name), score(key, a.Name))
	})
	return sorted
}

func shardIn(d declarer.DataCentre, key string) string {
	best := 0
	for n := range shardsOf(d) {
		if score(key, claimer.ShardName(d.Name, n)) > score(key, claimer.ShardName(d.Name, best)) {
			best = n
		}
	}
	return claimer.ShardName(d.Name, best)
}

func shardsOf(d declarer.DataCentre) int { return max(d.Shards, 1) }

func score(key, place string) uint64 { return xxhash.Sum64String(key + "\x00" + place) }

func replicaName(service string, n int) string {
	return prefixService + service + "/" + strconv.Itoa(n)
}
