package quantity_test

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/quantity"
)

var digits = strings.Repeat("9", 400)

// TestNumbersBeyondABoundCountAsTheBound walks the numbers that overflowed sums and sizes.
func TestNumbersBeyondABoundCountAsTheBound(t *testing.T) {
	bo := quantity.Bounds[int64]{Min: 0, Max: 1 << 53}
	for text, want := range map[string]int64{
		"0": 0, "+7": 7, "2147483648": 1 << 31, "9007199254740993": 1 << 53, "9223372036854775807": 1 << 53,
		"9223372036854775808": 1 << 53, "18446744073709551616": 1 << 53, digits: 1 << 53,
	} {
		va, err := bo.Parse(text)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%.30s", text))
		qt.Check(t, va, qt.Equals, want, qt.Commentf("%.30s", text))
	}
	for _, text := range []string{"", " 7", "-1", "-9223372036854775809", "-" + digits, "1.5", "1e308", "NaN", "Inf", "0x10", "1_000", "seven"} {
		_, err := bo.Parse(text)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%.30s", text))
	}
}

func TestRealNumbersAreFinite(t *testing.T) {
	bo := quantity.Bounds[float64]{Min: 0, Max: 1e9}
	for text, want := range map[string]float64{"0": 0, "+0.5": 0.5, "1e308": 1e9, "1e400": 1e9, digits: 1e9, "1e-400": 0} {
		va, err := bo.Parse(text)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%.30s", text))
		qt.Check(t, va, qt.Equals, want, qt.Commentf("%.30s", text))
	}
	for _, text := range []string{"", "NaN", "nan", "Inf", "+Infinity", "-0.1", "-1e400", "0x1p4", "1_0.5", " 1"} {
		_, err := bo.Parse(text)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%.30s", text))
	}
}

// TestFloatsAreBoundedBeforeTheyAreConverted holds on all machines: amd64 and arm64 convert a
// float beyond an integer to different ones.
func TestFloatsAreBoundedBeforeTheyAreConverted(t *testing.T) {
	bo := quantity.Bounds[int64]{Min: -5, Max: math.MaxInt64}
	for va, want := range map[float64]int64{1.9: 1, -1.9: -1, 1e308: math.MaxInt64, math.Inf(1): math.MaxInt64, 1 << 63: math.MaxInt64, math.Inf(-1): -5, -7: -5} {
		qt.Check(t, bo.Of(va), qt.Equals, want, qt.Commentf("%g", va))
	}
	qt.Check(t, bo.Of(math.NaN()), qt.Equals, int64(-5))
	qt.Check(t, quantity.Bounds[float64]{Min: 0, Max: 1}.Clamp(math.NaN()), qt.Equals, 0.0)
}

func TestTimesAreBounded(t *testing.T) {
	for ms, want := range map[int64]time.Duration{-1: 0, 0: 0, 1500: 1500 * time.Millisecond, math.MaxInt64: quantity.MaxDuration, math.MinInt64: 0, 9_300_000_000_000: quantity.MaxDuration} {
		qt.Check(t, quantity.Milliseconds(ms), qt.Equals, want, qt.Commentf("%d", ms))
	}
	for sec, want := range map[float64]time.Duration{-1: 0, 1.5: 1500 * time.Millisecond, 1e308: quantity.MaxDuration, math.Inf(1): quantity.MaxDuration} {
		qt.Check(t, quantity.Seconds(sec), qt.Equals, want, qt.Commentf("%g", sec))
	}
	qt.Check(t, quantity.Seconds(math.NaN()), qt.Equals, time.Duration(0))
}

func TestSumsAndProductsDoNotWrap(t *testing.T) {
	const most = int64(math.MaxInt64)
	qt.Check(t, quantity.Sum(most, most), qt.Equals, most)
	qt.Check(t, quantity.Sum[int64](2, 3), qt.Equals, int64(5))
	qt.Check(t, quantity.Product(most, 2), qt.Equals, most)
	qt.Check(t, quantity.Product(0, most), qt.Equals, int64(0))
	qt.Check(t, quantity.Product[int64](1<<32, 1<<32), qt.Equals, most)
	qt.Check(t, quantity.Product[int64](6, 7), qt.Equals, int64(42))
}

// TestAnyNumberOfADocumentIsDecoded has documents hold numbers that package json refuses.
func TestAnyNumberOfADocumentIsDecoded(t *testing.T) {
	for text, want := range map[string]quantity.Integer{
		"7": 7, "-7": -7, "1500.9": 1500, "2e3": 2000, "9223372036854775807": math.MaxInt64, "9223372036854775808": math.MaxInt64,
		"-1e400": math.MinInt64, digits: math.MaxInt64, "null": 3,
	} {
		in := quantity.Integer(3)
		qt.Check(t, json.Unmarshal([]byte(text), &in), qt.IsNil, qt.Commentf("%.30s", text))
		qt.Check(t, in, qt.Equals, want, qt.Commentf("%.30s", text))
	}
	for _, text := range []string{`"7"`, "true", "[]", "{}"} {
		in, re := quantity.Integer(3), quantity.Real(3)
		qt.Check(t, json.Unmarshal([]byte(text), &in), qt.IsNotNil, qt.Commentf("%s", text))
		qt.Check(t, json.Unmarshal([]byte(text), &re), qt.IsNotNil, qt.Commentf("%s", text))
	}
	var re quantity.Real
	qt.Check(t, json.Unmarshal([]byte("1e400"), &re), qt.IsNil)
	qt.Check(t, re, qt.Equals, quantity.Real(math.MaxFloat64))
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"0", "-1", "1e308", "NaN", digits, "9223372036854775808"} {
		f.Add(text)
	}
	whole, real := quantity.Bounds[int64]{Min: 1, Max: 1 << 40}, quantity.Bounds[float64]{Min: 0, Max: 100}
	f.Fuzz(func(t *testing.T, text string) {
		if va, err := whole.Parse(text); err == nil && (va < whole.Min || va > whole.Max) {
			t.Fatalf("%q is %d", text, va)
		}
		if va, err := real.Parse(text); err == nil && !(va >= real.Min && va <= real.Max) {
			t.Fatalf("%q is %g", text, va)
		}
		var in quantity.Integer
		var number json.Number
		if json.Unmarshal([]byte(text), &number) == nil && !strings.Contains(text, `"`) && in.UnmarshalJSON([]byte(strings.TrimSpace(text))) != nil {
			t.Fatalf("%q is a JSON number", text)
		}
	})
}
