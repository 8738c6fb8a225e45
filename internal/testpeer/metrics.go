package testpeer

import (
	"strconv"
	"strings"
	"testing"
)

// Figure returns the value of a metric of which the admin interface's answer has a line "NAME
// VALUE". It ends the test if there is none.
func Figure(t *testing.T, text, name string) int {
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
