package world

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"poppymill/router"
)

// seededRandom derives all randomness from one seed. Each draw is keyed by its purpose, so that the order in which gateways
// happen to act, or one more retry, does not change any other draw.
type seededRandom uint64

func (d seededRandom) hash(parts ...any) uint64 {
	h := xxhash.NewWithSeed(uint64(d))
	for _, part := range parts {
		switch w := part.(type) {
		case string:
			h.WriteString(w)
			h.Write([]byte{0})
		case int:
			var b [8]byte
			binary.LittleEndian.PutUint64(b[:], uint64(w))
			h.Write(b[:])
		default:
			panic(fmt.Sprintf("a draw keyed by %T", w))
		}
	}
	return h.Sum64()
}

// generator returns a random generator for a key.
func (d seededRandom) generator(parts ...any) router.Chance {
	c := router.Chance(d.hash(parts...)>>1 | 1)
	c.Uint32()
	return c
}

func (d seededRandom) uniform(parts ...any) float64 {
	c := d.generator(parts...)
	return c.Float64()
}

func (d seededRandom) id(parts ...any) string { return fmt.Sprintf("%016x", d.hash(parts...)) }

// between draws a number from a to b.
func between(c *router.Chance, a, b float64) float64 { return a + (b-a)*c.Float64() }

// interarrival draws the time between two events of a Poisson process.
func interarrival(c *router.Chance, rate float64) float64 { return -math.Log(1-c.Float64()) / rate }

// logNormal draws from a log-normal distribution with mean 1.
func logNormal(c *router.Chance, sigma float64) float64 {
	u, v := 1-c.Float64(), c.Float64()
	return math.Exp(sigma*math.Sqrt(-2*math.Log(u))*math.Cos(2*math.Pi*v) - sigma*sigma/2)
}

// zipf draws ranks by Zipf's law.
type zipf []float64

func newZipf(n int, skew float64) zipf {
	z, sum := make(zipf, n), 0.0
	for i := range z {
		sum += math.Pow(float64(i+1), -skew)
		z[i] = sum
	}
	return z
}

func (z zipf) pick(u float64) int {
	i, _ := slices.BinarySearch(z, u*z[len(z)-1])
	return min(i, len(z)-1)
}

// newRecentSum returns a sum over the last span, kept in fixed buckets.
func newRecentSum(span float64) router.Ring { return router.NewRing(span*1.1, 11) }
