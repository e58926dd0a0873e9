package router

import "hash/fnv"

// hash returns a 64-bit hash of a list of strings. All gateways must agree on it.
func hash(words ...string) uint64 {
	h := fnv.New64a()
	for _, w := range words {
		h.Write([]byte(w))
		h.Write([]byte{0})
	}
	return mix(h.Sum64())
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
