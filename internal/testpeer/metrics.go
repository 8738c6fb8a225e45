package testpeer

import (
	"strconv"
	"strings"
	"testing"
)

// MetricValue returns the value of a metric in a response of the admin interface, which contains a
// line "NAME VALUE" for each metric. It fails the test if there is no such line.
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
	t.Fatalf("metric %s is missing in:\n%s", name, text)
	return 0
}
