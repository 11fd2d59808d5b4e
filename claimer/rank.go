package claimer

import "github.com/cespare/xxhash/v2"

// Rank gives how many of the peers come before a daemon in the order of
// preference for a shard: the rendezvous hash, so that the loss of a daemon
// moves only its shards. Peers are identities.
func Rank(shard, daemon string, peers []string) int {
	own := score(shard, daemon)
	rank := 0
	for _, p := range peers {
		name := DaemonOf(p)
		if s := score(shard, name); s > own || s == own && name < daemon {
			rank++
		}
	}
	return rank
}

func score(shard, daemon string) uint64 { return xxhash.Sum64String(shard + "|" + daemon) }
