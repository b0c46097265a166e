// Package quantity makes bounded, typed numbers of what other programs and people write: in
// headers, messages, records, settings and orders. Nobody bounds these numbers at their source, and
// sums, products and conversions of unbounded ones overflow.
//
// A number beyond a bound counts as the bound: whoever writes more than anybody needs means "no
// limit".
package quantity

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Number is the types that a quantity may have.
type Number interface {
	~int | ~int64 | ~uint32 | ~float64
}

// Bounds are the smallest and the largest value of a quantity.
type Bounds[T Number] struct{ Min, Max T }

// Clamp returns the value within the bounds that is nearest to a number: Min for one that is not
// a number.
func (bo Bounds[T]) Clamp(va T) T {
	switch {
	case va > bo.Max:
		return bo.Max
	case va >= bo.Min:
		return va
	default:
		return bo.Min
	}
}

// Contain reports whether a number is within the bounds. What is not a number never is.
func (bo Bounds[T]) Contain(va T) bool { return va >= bo.Min && va <= bo.Max }

// Of returns the value within the bounds that is nearest to a number, rounded towards zero where T
// holds no fractions. Conversions of a float beyond an integer differ between machines.
func (bo Bounds[T]) Of(va float64) T {
	switch {
	case va >= float64(bo.Max):
		return bo.Max
	case va > float64(bo.Min):
		return T(va)
	default:
		return bo.Min
	}
}

// Parse returns the value of a decimal number, without a fraction or exponent where T is an
// integer type. A number above Max counts as Max. The error says that the text is no such number,
// or one below Min.
func (bo Bounds[T]) Parse(text string) (T, error) {
	va, err := bo.parse(text)
	if err == nil && va < bo.Min {
		err = eris.Errorf("%.40q is less than %v", text, bo.Min)
	}
	if err != nil {
		return 0, err
	}
	return min(va, bo.Max), nil
}

func (bo Bounds[T]) parse(text string) (T, error) {
	if T(1)/2 != 0 {
		va, err := parseReal(text)
		return T(va), err
	}
	va, err := strconv.ParseInt(text, 10, 64)
	switch {
	case errors.Is(err, strconv.ErrRange) && va > 0, va > int64(bo.Max):
		return bo.Max, nil
	case errors.Is(err, strconv.ErrRange), err == nil && va < int64(bo.Min):
		return 0, eris.Errorf("%.40q is less than %v", text, bo.Min)
	case err != nil:
		return 0, eris.Errorf("%.40q is not a whole number", text)
	}
	return T(va), nil
}

// parseReal returns a decimal number. One beyond the largest or smallest float64 counts as that.
func parseReal(text string) (float64, error) {
	va, err := strconv.ParseFloat(text, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || strings.ContainsAny(text, "nNxX_") {
		return 0, eris.Errorf("%.40q is not a decimal number", text)
	}
	return Bounds[float64]{-math.MaxFloat64, math.MaxFloat64}.Clamp(va), nil
}

// MaxDuration is the longest time that anybody can name: ten years. Sums and small multiples of
// it are durations too.
const MaxDuration = 10 * 365 * 24 * time.Hour

// Milliseconds returns a number of milliseconds as a time from 0 to MaxDuration.
func Milliseconds[T ~int64 | ~uint32](ms T) time.Duration {
	if int64(ms) > MaxDuration.Milliseconds() {
		return MaxDuration
	}
	return time.Duration(max(0, ms)) * time.Millisecond
}

// Ago returns the time that was a number of milliseconds before another one.
func Ago(now time.Time, ms int64) time.Time { return now.Add(-Milliseconds(ms)) }

// Seconds returns a number of seconds as a time from 0 to MaxDuration, 0 for what is not a number.
func Seconds(va float64) time.Duration {
	return Bounds[time.Duration]{0, MaxDuration}.Of(va * float64(time.Second))
}

// Sum returns the sum of two numbers that are not negative, the largest one if that is larger.
func Sum[T ~int64](a, b T) T {
	if a > math.MaxInt64-b {
		return math.MaxInt64
	}
	return a + b
}

// Product returns the product of two numbers that are not negative, the largest one if that is
// larger.
func Product[T ~int64](a, b T) T {
	if a != 0 && b > math.MaxInt64/a {
		return math.MaxInt64
	}
	return a * b
}
