package hcldecode

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/hashicorp/hcl/v2"

	"rowancart/balancer"
)

// decodeAttribute decodes the attribute x of a file with this text into a value of type T.
func decodeAttribute[T any](t *testing.T, text string) (T, error) {
	t.Helper()
	body, err := Parse([]byte(text), "f.hcl")
	if err != nil {
		t.Fatal(err)
	}
	var d Decoder
	var x T
	d.Body(body, Fields{"x": &x}, nil)
	return x, NewErrorList(d.Diags).Err()
}

// checkValue checks in a subtest that an expression is decoded as want.
func checkValue[T any](t *testing.T, text string, want T) {
	t.Helper()
	t.Run(fmt.Sprintf("%s as %T", text, want), func(t *testing.T) {
		got, err := decodeAttribute[T](t, "x = "+text)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %v, %v, want %v", got, err, want)
		}
	})
}

// checkError checks in a subtest that decoding an expression as a T fails with this message.
func checkError[T any](t *testing.T, text, message string) {
	t.Helper()
	var zero T
	t.Run(fmt.Sprintf("%s as %T", text, zero), func(t *testing.T) {
		_, err := decodeAttribute[T](t, "x = "+text)
		if want := "f.hcl:1:5: x: " + message; err == nil || err.Error() != want {
			t.Errorf("\n got %v\nwant %s", err, want)
		}
	})
}

func TestValues(t *testing.T) {
	checkValue(t, `"250ms"`, 250*time.Millisecond)
	checkValue(t, `"64KiB"`, Size(64<<10))
	checkValue(t, `"2 GiB"`, Size(2<<30))
	checkValue(t, `"50/s"`, Rate(50))
	checkValue(t, `"3000/min"`, Rate(50))
	checkValue(t, `"7200/h"`, Rate(2))
	checkValue(t, `0.25`, Fraction(0.25))
	checkValue(t, `1.5`, 1.5)
	checkValue(t, `"3"`, 3) // variables set on the command line are strings
	checkValue(t, `true`, true)
	checkValue(t, `"a"`, "a")
	checkValue(t, `[1, 2]`, []uint64{1, 2})
	checkValue(t, `[0.5]`, []float64{0.5})
	checkValue(t, `["1s", "2s"]`, []time.Duration{time.Second, 2 * time.Second})
	checkValue(t, `["a", 2]`, []string{"a", "2"})
}

func TestInvalidValues(t *testing.T) {
	checkError[time.Duration](t, `3`, `must be a duration with its unit, such as "250ms"`)
	checkError[time.Duration](t, `"-1s"`, `"-1s" is not a duration; examples: "250ms", "2.5s"`)
	checkError[Size](t, `64`, `must be a size with its unit, such as "128MiB"`)
	checkError[Size](t, `"64MB"`, `"64MB" is not a size; examples: "64KiB", "128MiB"`)
	checkError[Rate](t, `"50"`, `"50" is not a rate; examples: "50/s", "3000/min"`)
	checkError[Fraction](t, `1.5`, `1.5 is not between 0 and 1`)
	checkError[float64](t, `-1`, `-1 is negative`)
	checkError[float64](t, `"many"`, `must be a number`)
	checkError[int](t, `1.5`, `1.5 is not a non-negative integer`)
	checkError[bool](t, `3`, `must be true or false`)
	checkError[string](t, `3`, `must be a quoted string`)
	checkError[[]float64](t, `3`, `must be a list in brackets`)
	checkError[[]string](t, `[[]]`, `elements must be strings, numbers or booleans`)
}

// All errors of a file are reported in the order of their positions. Missing attributes of a block
// have the same position and are reported in the order of their names.
func TestErrorsAreInFileOrder(t *testing.T) {
	const text = "b {\n}\nz = 1\ny = -1\n"
	const want = `f.hcl:1:3: Missing required argument: The argument "k" is required, but no definition was found.
f.hcl:1:3: Missing required argument: The argument "l" is required, but no definition was found.
f.hcl:3:1: Unsupported argument: An argument named "z" is not expected here.
f.hcl:4:5: y: -1 is negative`
	for range 20 { // maps are iterated in random order
		body, err := Parse([]byte(text), "f.hcl")
		if err != nil {
			t.Fatal(err)
		}
		var d Decoder
		var k, l, y float64
		decodeBlock := func(b *hcl.Block) { d.Body(b.Body, Fields{"l!": &l, "k!": &k}, nil) }
		if d.Body(body, Fields{"y": &y}, Blocks{"b": decodeBlock}) {
			t.Fatal("Body returned true for an invalid file")
		}
		if err := NewErrorList(d.Diags).Err(); err == nil || err.Error() != want {
			t.Fatalf("got\n%v\nwant\n%s", err, want)
		}
	}
}

func TestRetryBudget(t *testing.T) {
	for _, c := range []struct {
		name, text, wantErr string
		want                balancer.RetryBudget
	}{
		{"default burst", "share = 0.1\n", "", balancer.RetryBudget{PerRequest: 0.1, Burst: 10}},
		{"all attributes", "share = 0.2\nfloor = \"30/min\"\nmost = 4\n", "",
			balancer.RetryBudget{PerRequest: 0.2, PerSecond: 0.5, Burst: 4}},
		{"burst that allows no retry", "share = 0.1\nmost = 0.5\n",
			"f.hcl:3:1: most: 0.5 allows no retry; the minimum is 1", balancer.RetryBudget{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			body, err := Parse([]byte("retry_budget {\n"+c.text+"}\n"), "f.hcl")
			if err != nil {
				t.Fatal(err)
			}
			var d Decoder
			var budget balancer.RetryBudget
			d.Body(body, nil, Blocks{"retry_budget": func(b *hcl.Block) { d.RetryBudget(b, &budget) }})
			if got := NewErrorList(d.Diags).Error(); got != c.wantErr {
				t.Fatalf("errors: got %q, want %q", got, c.wantErr)
			}
			if c.wantErr == "" && budget != c.want {
				t.Errorf("got %+v, want %+v", budget, c.want)
			}
		})
	}
}
