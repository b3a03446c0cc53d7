package member

// buckets is the number of parts that tables are compared in; at 3,200
// members, one part has 50 members or about 4 KB of facts.
const buckets = 64

// digest is a hash per bucket over the members that are not gone. Tombstones
// are left out, so that their expiry makes no difference between tables.
type digest struct {
	root    uint64
	count   int
	buckets [buckets]uint32
}

func bucketOf(key uint32) int { return int(key >> 26) }

func (d *digest) toggle(key, stamp uint32, n int) {
	d.count += n
	d.buckets[bucketOf(key)] ^= stamp
	d.root ^= uint64(stamp) | uint64(key^stamp*0x9E3779B1)<<32
}
