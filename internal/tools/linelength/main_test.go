package main

import (
	"strings"
	"testing"
)

func TestCheck(t *testing.T) {
	for name, row := range map[string]struct {
		line string
		long bool
	}{
		"comment at the limit":              {"//" + strings.Repeat("x", maxCommentLine-2), false},
		"comment beyond the limit":          {"//" + strings.Repeat("x", maxCommentLine-1), true},
		"indented comment beyond the limit": {"\t//" + strings.Repeat("x", maxCommentLine-2), true},
		"code at the limit":                 {strings.Repeat("x", maxCodeLine), false},
		"code beyond the limit":             {strings.Repeat("x", maxCodeLine+1), true},
		"code with a comment at its end":    {"x := 1 //" + strings.Repeat("x", maxCodeLine-9), false},
		"characters are counted, not bytes": {strings.Repeat("µ", maxCodeLine), false},
	} {
		found, err := check("x.go", strings.NewReader("package x\n"+row.line+"\n"))
		if err != nil {
			t.Fatal(err)
		}
		if (len(found) == 1) != row.long {
			t.Errorf("%s: reported %q", name, found)
		}
		if row.long && !strings.HasPrefix(found[0], "x.go:2: ") {
			t.Errorf("%s: message %q does not name the file and the line", name, found[0])
		}
	}
}
