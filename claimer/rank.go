package claimer

import "github.com/cespare/xxhash/v2"

// Rank returns how many of the peers, given as identities, precede a daemon in the order
// of preference for a shard. The order is a rendezvous hash, so the loss of a daemon moves
// only that daemon's shards.
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
