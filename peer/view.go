package peer

import (
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/ident"
)

// View is an immutable snapshot of a Table.
type View struct {
	rows   []Row    // in order of Host
	live   []Row    // in order of Host
	hashes []uint64 // of the ids of the live hosts
}

// newView returns a view of rows, which must be in order of Host.
func newView(rows []Row) *View {
	v := &View{
		rows: rows,
	}
	for _, row := range rows {
		if row.Live() {
			v.live = append(v.live, row)
			v.hashes = append(v.hashes, xxhash.Sum64String(string(row.Host)))
		}
	}
	return v
}

// Live returns the rows of the live hosts in order of id. The caller must not modify
// the slice.
func (v *View) Live() []Row {
	return v.live
}

// Rows returns the rows of all hosts in order of id. The caller must not modify the
// slice.
func (v *View) Rows() []Row {
	return v.rows
}

// Row returns the row of a host, and whether the host is known.
func (v *View) Row(host ident.HostID) (Row, bool) {
	i := sort.Search(len(v.rows), func(i int) bool {
		return v.rows[i].Host >= host
	})
	if i == len(v.rows) || v.rows[i].Host != host {
		return Row{}, false
	}
	return v.rows[i], true
}

// Owner returns the live host with the highest rendezvous hash for a key, or false if
// there are no live hosts. The owner changes only if it is no longer live or if a
// host with a higher hash joins.
func (v *View) Owner(key uint64) (ident.HostID, bool) {
	best, highest := -1, uint64(0)
	for i, hash := range v.hashes {
		if score := rendezvousHash(hash, key); best < 0 || score > highest {
			best, highest = i, score
		}
	}
	if best < 0 {
		return "", false
	}
	return v.live[best].Host, true
}

// Ranked returns the live hosts of a failure domain, or of all domains if it is
// empty, by descending rendezvous hash for a key.
func (v *View) Ranked(domain ident.FailureDomain, key uint64) []ident.HostID {
	type scored struct {
		host  ident.HostID
		score uint64
	}
	var hosts []scored
	for i, row := range v.live {
		if domain == "" || row.Domain == domain {
			hosts = append(hosts, scored{
				host:  row.Host,
				score: rendezvousHash(v.hashes[i], key),
			})
		}
	}
	slices.SortFunc(hosts, func(a, b scored) int {
		if a.score > b.score {
			return -1
		}
		return 1
	})
	ranked := make([]ident.HostID, len(hosts))
	for i, host := range hosts {
		ranked[i] = host.host
	}
	return ranked
}

// rendezvousHash combines the hash of a host with a key.
func rendezvousHash(host, key uint64) uint64 {
	var buffer [16]byte
	binary.LittleEndian.PutUint64(buffer[:8], host)
	binary.LittleEndian.PutUint64(buffer[8:], key)
	return xxhash.Sum64(buffer[:])
}
