package owner

import "github.com/cespare/xxhash/v2"

// filter is a Bloom filter of the ids of one epoch that were refused "not run"
// because the table was full.
//
// Without it, a refusal could be false: a caller sends an id twice, the second
// copy overtakes the first and is refused as "not run" for lack of memory, then
// the first copy arrives when there is memory again, and runs. The filter
// remembers the refusals in a fixed amount of memory. A false positive only
// refuses a request that has not run, which is safe.
type filter struct {
	bits []uint64
}

const (
	filterBits   = 1 << 18 // 32 KiB, allocated at the first refusal of an epoch
	filterHashes = 4
)

func (f *filter) add(id string) {
	if f.bits == nil {
		f.bits = make([]uint64, filterBits/64)
	}
	h := xxhash.Sum64String(id)
	for i := range uint64(filterHashes) {
		bit := position(h, i)
		f.bits[bit/64] |= 1 << (bit % 64)
	}
}

func (f *filter) has(id string) bool {
	if f.bits == nil {
		return false
	}
	h := xxhash.Sum64String(id)
	for i := range uint64(filterHashes) {
		bit := position(h, i)
		if f.bits[bit/64]&(1<<(bit%64)) == 0 {
			return false
		}
	}
	return true
}

// position derives the i-th bit from the two halves of one hash.
func position(h, i uint64) uint64 {
	return (h + i*(h>>32|1)) % filterBits
}
