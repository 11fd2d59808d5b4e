// Command galenawharf-soak runs soak tests: it starts daemons as separate processes, injects
// random faults, and checks that the guarantees to callers hold. It exits with status 1 if
// any seed violates one, or has too few jobs, ends or faults to have tested anything.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/soaker"
)

const (
	// calmDuration is how long jobs are submitted before the first fault.
	calmDuration = 3 * clock.Second
	// defaultTenants is whether soak tests have tenants unless the flag says otherwise.
	defaultTenants = true
)

func main() { os.Exit(run()) }

func run() int {
	tenants := defaultTenants
	binary, seeds, first, hosts, workers, seconds := "target/galenawharf-host", 1, uint64(1), 5, 6, 20
	flaggy.SetName("galenawharf-soak")
	flaggy.SetDescription("run daemons under random faults and check what was promised")
	flaggy.String(&binary, "b", "binary", "the daemon's program")
	flaggy.Int(&seeds, "n", "seeds", "how many seeds to play")
	flaggy.UInt64(&first, "f", "first", "the first seed")
	flaggy.Int(&hosts, "o", "hosts", "how many daemons")
	flaggy.Int(&workers, "w", "workers", "how many workers")
	flaggy.Int(&seconds, "t", "seconds", "how long faults are injected, in seconds")
	flaggy.Bool(&tenants, "e", "tenants", "whether one of the routes has tenants with keys and caps")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	flaggy.Parse()
	failed := 0
	for seed := first; seed < first+uint64(seeds); seed++ {
		dir, err := os.MkdirTemp("", fmt.Sprintf("soak-%d-", seed))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		r, err := soaker.Run(soaker.Settings{
			Binary: binary, Dir: dir, Seed: seed, Hosts: hosts, Workers: workers,
			CalmDuration: calmDuration, FaultDuration: clock.Millis(seconds) * clock.Second, SettleTimeout: clock.Minute,
			Tenants: tenants,
		})
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 1
		}
		fmt.Printf("seed %d: %s; %d violations\n", seed, r.Counts, len(r.Violations))
		for _, v := range r.Violations {
			fmt.Println("  " + v)
		}
		if len(r.Violations) == 0 {
			// Logs are kept only for seeds with violations.
			_ = os.RemoveAll(dir)
			continue
		}
		failed++
		fmt.Println("  logs: " + filepath.Join(dir, "*.log"))
	}
	if failed > 0 {
		return 1
	}
	return 0
}
