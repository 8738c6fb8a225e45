package hcldecode

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/zclconf/go-cty/cty"
	"github.com/zclconf/go-cty/cty/convert"
)

// Rate is a number of events per second, written with its unit: "50/s", "3000/min" or "10/h".
type Rate float64

// Fraction is a number from 0 to 1.
type Fraction float64

// Size is a number of bytes, written with its unit: "64KiB", "128MiB" or "2GiB".
type Size int64

var (
	sizeUnits = map[string]float64{"KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30} // in bytes
	rateUnits = map[string]float64{"s": 1, "min": 60, "h": 3600}                   // in seconds
)

// value is the evaluated expression of an attribute, or one element of it if it is a list.
type value struct {
	cty.Value
	d    *Decoder  // collects the errors
	name string    // name of the attribute
	at   hcl.Range // range of the attribute's expression
}

// attribute decodes an attribute into *to. It leaves *to unchanged if the attribute is null or its
// expression cannot be evaluated.
func (d *Decoder) attribute(a *hcl.Attribute, to any) {
	evaluated, diags := a.Expr.Value(d.Vars)
	d.Diags = append(d.Diags, diags...)
	if diags.HasErrors() || evaluated.IsNull() || !evaluated.IsWhollyKnown() {
		return
	}
	v := value{Value: evaluated, d: d, name: a.Name, at: a.Expr.Range()}
	if !v.decodeScalar(to) && !v.decodeList(to) {
		panic(fmt.Sprintf("hcldecode: cannot decode into a %T", to))
	}
}

// decodeScalar decodes a value that is not a list. It returns false if the type of to is not
// supported.
func (v value) decodeScalar(to any) bool {
	switch to := to.(type) {
	case *time.Duration:
		set(to, v.duration)
	case *Size:
		set(to, v.size)
	case *Rate:
		set(to, v.rate)
	case *Fraction:
		set(to, v.fraction)
	case *float64:
		set(to, v.nonNegative)
	case *int:
		set(to, v.nonNegativeInt)
	case *bool:
		set(to, v.boolean)
	case *string:
		set(to, func() (string, bool) { return v.text("a quoted string") })
	default:
		return false
	}
	return true
}

// decodeList decodes a list. It returns false if the type of to is not supported.
func (v value) decodeList(to any) bool {
	switch to := to.(type) {
	case *[]uint64:
		v.each(func(element value) {
			if x, ok := element.number(); ok {
				*to = append(*to, uint64(x))
			}
		})
	case *[]float64:
		v.each(func(element value) {
			if x, ok := element.number(); ok {
				*to = append(*to, x)
			}
		})
	case *[]time.Duration:
		v.each(func(element value) {
			d, _ := element.duration() // 0 after an error, so that the list keeps its length
			*to = append(*to, d)
		})
	case *[]string:
		v.each(func(element value) {
			s, err := convert.Convert(element.Value, cty.String)
			if err != nil {
				v.errorf("elements must be strings, numbers or booleans")
				return
			}
			*to = append(*to, s.AsString())
		})
	default:
		return false
	}
	return true
}

// set stores the result of decode in *to, unless decode fails.
func set[T any](to *T, decode func() (T, bool)) {
	if x, ok := decode(); ok {
		*to = x
	}
}

// errorf adds an error at the attribute's expression. The message begins with the attribute's name.
func (v value) errorf(format string, args ...any) {
	v.d.Errorf(v.at, "%s: %s", v.name, fmt.Sprintf(format, args...))
}

// each calls f with each element of a list. It adds an error if the value is not a list.
func (v value) each(f func(element value)) {
	if !v.CanIterateElements() || v.Type().IsMapType() || v.Type().IsObjectType() {
		v.errorf("must be a list in brackets")
		return
	}
	for it := v.ElementIterator(); it.Next(); {
		element := v
		_, element.Value = it.Element()
		f(element)
	}
}

// text returns the value as a string. If it is of another type, text adds an error that says what
// was expected.
func (v value) text(expected string) (string, bool) {
	if v.Type() != cty.String {
		v.errorf("must be %s", expected)
		return "", false
	}
	return v.AsString(), true
}

// number returns the value as a number. It accepts a string that holds a number as well, because
// variables set on the command line are strings.
func (v value) number() (float64, bool) {
	n, err := convert.Convert(v.Value, cty.Number)
	if err != nil {
		v.errorf("must be a number")
		return 0, false
	}
	x, _ := n.AsBigFloat().Float64()
	return x, true
}

func (v value) nonNegative() (float64, bool) {
	x, ok := v.number()
	if ok && x < 0 {
		v.errorf("%g is negative", x)
		return 0, false
	}
	return x, ok
}

func (v value) nonNegativeInt() (int, bool) {
	x, ok := v.number()
	if ok && (x != float64(int(x)) || x < 0) {
		v.errorf("%g is not a non-negative integer", x)
		return 0, false
	}
	return int(x), ok
}

func (v value) fraction() (Fraction, bool) {
	x, ok := v.number()
	if ok && (x < 0 || x > 1) {
		v.errorf("%g is not between 0 and 1", x)
		return 0, false
	}
	return Fraction(x), ok
}

func (v value) boolean() (bool, bool) {
	b, err := convert.Convert(v.Value, cty.Bool)
	if err != nil {
		v.errorf("must be true or false")
		return false, false
	}
	return b.True(), true
}

func (v value) duration() (time.Duration, bool) {
	text, ok := v.text(`a duration with its unit, such as "250ms"`)
	if !ok {
		return 0, false
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		v.errorf(`%q is not a duration; examples: "250ms", "2.5s"`, text)
		return 0, false
	}
	return d, true
}

func (v value) rate() (Rate, bool) {
	text, ok := v.text(`a rate with its unit, such as "50/s"`)
	if !ok {
		return 0, false
	}
	count, unit, _ := strings.Cut(text, "/")
	seconds := rateUnits[unit]
	x, err := strconv.ParseFloat(strings.TrimSpace(count), 64)
	if err != nil || seconds == 0 || x < 0 {
		v.errorf(`%q is not a rate; examples: "50/s", "3000/min"`, text)
		return 0, false
	}
	return Rate(x / seconds), true
}

func (v value) size() (Size, bool) {
	text, ok := v.text(`a size with its unit, such as "128MiB"`)
	if !ok {
		return 0, false
	}
	digits := strings.TrimRight(text, "KMGiB")
	bytes := sizeUnits[text[len(digits):]]
	x, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
	if err != nil || bytes == 0 || x < 0 {
		v.errorf(`%q is not a size; examples: "64KiB", "128MiB"`, text)
		return 0, false
	}
	return Size(x * bytes), true
}
