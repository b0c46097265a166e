package quantity

import (
	"bytes"
	"math"

	"github.com/rotisserie/eris"
)

// Integer is an integer of a JSON document. Any JSON number can be decoded into one: it is rounded
// towards zero and, beyond 64 bits, counts as the largest or smallest integer.
type Integer int64

// Real is a number of a JSON document. One beyond the largest or smallest float64 counts as that.
type Real float64

// UnmarshalJSON implements json.Unmarshaler.
func (in *Integer) UnmarshalJSON(text []byte) error {
	va, err := Bounds[int64]{math.MinInt64, math.MaxInt64}.Parse(string(text))
	if err == nil {
		*in = Integer(va)
		return nil
	}
	return unmarshalNumber(text, func(re float64) { *in = Bounds[Integer]{math.MinInt64, math.MaxInt64}.Of(re) })
}

// UnmarshalJSON implements json.Unmarshaler.
func (re *Real) UnmarshalJSON(text []byte) error {
	return unmarshalNumber(text, func(va float64) { *re = Real(va) })
}

// unmarshalNumber calls set with a JSON number. As in package json, null changes nothing.
func unmarshalNumber(text []byte, set func(va float64)) error {
	if bytes.Equal(text, []byte("null")) {
		return nil
	}
	va, err := parseReal(string(text))
	if err != nil {
		return eris.Wrap(err, "decoding a JSON number")
	}
	set(va)
	return nil
}
