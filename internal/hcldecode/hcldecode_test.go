package hcldecode

import (
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/hcl/v2"
)

// decodeAttribute decodes the attribute x of a file into a value of type T.
func decodeAttribute[T any](t *testing.T, text string) (T, error) {
	t.Helper()
	body, err := Parse([]byte(text), "f.hcl")
	if err != nil {
		t.Fatal(err)
	}
	var r Reader
	var x T
	r.Body(body, Fields{"x": &x}, nil)
	return x, Faults(r.Diags).Err()
}

func checkValue[T any](t *testing.T, text string, want T) {
	t.Helper()
	got, err := decodeAttribute[T](t, "x = "+text)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s as %T: got %v, %v, want %v", text, want, got, err, want)
	}
}

func checkFault[T any](t *testing.T, text, want string) {
	t.Helper()
	var zero T
	_, err := decodeAttribute[T](t, "x = "+text)
	if want = "f.hcl:1:5: x: " + want; err == nil || err.Error() != want {
		t.Errorf("%s as %T:\n got %v\nwant %s", text, zero, err, want)
	}
}

func TestValues(t *testing.T) {
	checkValue(t, `"250ms"`, 250*time.Millisecond)
	checkValue(t, `"64KiB"`, Size(64<<10))
	checkValue(t, `"2 GiB"`, Size(2<<30))
	checkValue(t, `"50/s"`, Rate(50))
	checkValue(t, `"3000/min"`, Rate(50))
	checkValue(t, `"7200/h"`, Rate(2))
	checkValue(t, `0.25`, Share(0.25))
	checkValue(t, `1.5`, 1.5)
	checkValue(t, `"3"`, 3) // variables set on the command line are strings
	checkValue(t, `true`, true)
	checkValue(t, `"a"`, "a")
	checkValue(t, `[1, 2]`, []uint64{1, 2})
	checkValue(t, `[0.5]`, []float64{0.5})
	checkValue(t, `["1s", "2s"]`, []time.Duration{time.Second, 2 * time.Second})
	checkValue(t, `["a", 2]`, []string{"a", "2"})
}

func TestFaultsOfValues(t *testing.T) {
	checkFault[time.Duration](t, `3`, `a time with its unit, such as "250ms" is wanted`)
	checkFault[time.Duration](t, `"-1s"`, `"-1s" is no time; write such as "250ms" or "2.5s"`)
	checkFault[Size](t, `64`, `a size with its unit, such as "128MiB" is wanted`)
	checkFault[Size](t, `"64MB"`, `"64MB" is no size; write such as "64KiB" or "128MiB"`)
	checkFault[Rate](t, `"50"`, `"50" is no rate; write such as "50/s" or "3000/min"`)
	checkFault[Share](t, `1.5`, `1.5 is no share: it is not from 0 to 1`)
	checkFault[float64](t, `-1`, `-1 is below 0`)
	checkFault[float64](t, `"many"`, `a number is wanted`)
	checkFault[int](t, `1.5`, `1.5 is no whole number from 0 up`)
	checkFault[bool](t, `3`, `true or false is wanted`)
	checkFault[string](t, `3`, `a text in quotes is wanted`)
	checkFault[[]float64](t, `3`, `a list in brackets is wanted`)
	checkFault[[]string](t, `[[]]`, `plain values are wanted`)
}

// All faults come at once, in the file's order; those at one place in the order of their names.
func TestFaultsComeInOrder(t *testing.T) {
	const text = "b {\n}\nz = 1\ny = -1\n"
	const want = `f.hcl:1:3: Missing required argument: The argument "k" is required, but no definition was found.
f.hcl:1:3: Missing required argument: The argument "l" is required, but no definition was found.
f.hcl:3:1: Unsupported argument: An argument named "z" is not expected here.
f.hcl:4:5: y: -1 is below 0`
	for range 20 { // maps are iterated in random order
		body, err := Parse([]byte(text), "f.hcl")
		if err != nil {
			t.Fatal(err)
		}
		var r Reader
		var k, l, y float64
		decodeBlock := func(b *hcl.Block) { r.Body(b.Body, Fields{"l!": &l, "k!": &k}, nil) }
		if r.Body(body, Fields{"y": &y}, Blocks{"b": decodeBlock}) {
			t.Fatal("decoded without a fault")
		}
		if err := Faults(r.Diags).Err(); err == nil || err.Error() != want {
			t.Fatalf("got\n%v\nwant\n%s", err, want)
		}
	}
}
