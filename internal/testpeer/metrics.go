package testpeer

import (
	"strconv"
	"strings"
	"testing"
)

// MetricValue returns the value of a metric in a response of the admin interface, which has a line
// "NAME VALUE" for it. It ends the test if there is none.
func MetricValue(t *testing.T, text, name string) int {
	t.Helper()
	for line := range strings.Lines(text) {
		value, ok := strings.CutPrefix(line, name+" ")
		if !ok {
			continue
		}
		n, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil {
			t.Fatal(err)
		}
		return n
	}
	t.Fatalf("no %s in %s", name, text)
	return 0
}
