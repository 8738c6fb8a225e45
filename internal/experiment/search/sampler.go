package search

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"
)

// sampler draws random properties of a site.
type sampler struct{ *rand.Rand }

// bernoulli returns true with probability p.
func (d sampler) bernoulli(p float64) bool { return d.Float64() < p }

func (d sampler) uniform(low, high float64) float64 { return low + (high-low)*d.Float64() }

// logUniform draws a number whose logarithm is uniformly distributed.
func (d sampler) logUniform(low, high float64) float64 {
	return math.Exp(d.uniform(math.Log(low), math.Log(high)))
}

func (d sampler) integer(s Span[int]) int { return s.Min + d.IntN(s.Max-s.Min+1) }

func (d sampler) logUniformInt(s Span[int]) int {
	return min(max(int(math.Round(d.logUniform(float64(s.Min), float64(s.Max)))), s.Min), s.Max)
}

func (d sampler) logUniformTime(low, high time.Duration) time.Duration {
	return roundTime(time.Duration(d.logUniform(float64(low), float64(high))))
}

// roundTime rounds to three significant digits, so that descriptions of sites are easier to read.
// It returns 0 for negative times.
func roundTime(t time.Duration) time.Duration {
	if t <= 0 {
		return 0
	}
	unit := math.Pow(10, math.Floor(math.Log10(float64(t)))-2)
	return time.Duration(math.Round(float64(t)/unit) * unit)
}

// roundSeconds converts a number of seconds to a time that is rounded by roundTime.
func roundSeconds(seconds float64) time.Duration {
	return roundTime(time.Duration(seconds * float64(time.Second)))
}

// threeDigits rounds to three significant digits.
func threeDigits(x float64) float64 {
	y, _ := strconv.ParseFloat(strconv.FormatFloat(x, 'g', 3, 64), 64) // FormatFloat's text is always valid
	return y
}
