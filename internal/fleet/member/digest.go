package member

// bucketCount is the number of hash buckets by which two tables are compared.
// At 3,200 members a bucket has 50 members, about 4 KB of facts.
const bucketCount = 64

// digest holds a root hash and a hash per bucket over the live members.
// Tombstones are excluded, so that tables do not differ while tombstones expire
// at different times.
type digest struct {
	root         uint64
	count        int
	bucketHashes [bucketCount]uint32
}

func bucketIndex(key uint32) int { return int(key >> 26) }

// toggle adds a member to the digest or removes it; XOR makes the two the same
// operation. countDelta is +1 or -1.
func (d *digest) toggle(key, hash uint32, countDelta int) {
	d.count += countDelta
	d.bucketHashes[bucketIndex(key)] ^= hash
	d.root ^= uint64(hash) | uint64(key^hash*0x9E3779B1)<<32
}
