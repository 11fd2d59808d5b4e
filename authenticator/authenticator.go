// Package authenticator finds the tenant that an API key belongs to. It keeps the digests of the
// keys and never the keys themselves.
package authenticator

import "encoding/binary"

type (
	// Authenticator is an immutable set of keys. It is safe for concurrent use.
	Authenticator struct {
		// entries are the keys by the first 8 bytes of their digests. The lookup by these may take
		// a time that depends on them; whole digests are compared in constant time.
		entries map[uint64][]entry
		// counts is the number of keys of each tenant.
		counts map[string]int
	}

	entry struct {
		digest Digest
		tenant string
	}
)

// New returns the set of the given keys, by tenant. A key that is listed for two tenants belongs
// to neither, since it would be arbitrary whose cap its jobs count against. Keys that DigestOf
// rejects are left out.
func New(keys map[string][]string) *Authenticator {
	owners := map[Digest]string{}
	shared := map[Digest]bool{}
	for tenant, ks := range keys {
		for _, k := range ks {
			d, ok := DigestOf(k)
			if !ok {
				continue
			}
			if o, ok := owners[d]; ok && o != tenant {
				shared[d] = true
			}
			owners[d] = tenant
		}
	}
	a := &Authenticator{entries: make(map[uint64][]entry, len(owners)), counts: make(map[string]int, len(keys))}
	for d, tenant := range owners {
		if !shared[d] {
			a.entries[prefix(d)] = append(a.entries[prefix(d)], entry{digest: d, tenant: tenant})
			a.counts[tenant]++
		}
	}
	return a
}

// Tenant returns the tenant whose key has a digest. It reports false if there is none.
func (a *Authenticator) Tenant(d Digest) (string, bool) {
	for _, e := range a.entries[prefix(d)] {
		if e.digest.equal(d) {
			return e.tenant, true
		}
	}
	return "", false
}

// Keys returns the number of keys by which a tenant is known.
func (a *Authenticator) Keys(tenant string) int { return a.counts[tenant] }

func prefix(d Digest) uint64 { return binary.BigEndian.Uint64(d[:]) }
