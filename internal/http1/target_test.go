package http1

import (
	"testing"
)

// headWithTarget returns the simplest head of a request with the given target.
func headWithTarget(target string) []byte {
	return []byte("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")
}

// eachTargetByte calls check with targets that have one of all bytes in the path, in the query and in
// a percent-encoding.
func eachTargetByte(check func(target string)) {
	for c := range 256 {
		b := string([]byte{byte(c)})
		check("/look/a%2Fb" + b + "c")
		check("/look/a%2Fb?x=" + b + "c")
		check("/look/%" + b + "1")
		check("/look/%1" + b)
		check("/look?x=%" + b + "1")
		check(b + "look")
	}
}

// Guards against a parser that changes a request's target: what is forwarded must be what was sent.
func TestParseRequestKeepsTheTarget(t *testing.T) {
	eachTargetByte(func(target string) {
		if r := ParseRequest(headWithTarget(target)); r != nil && r.RequestURI != target {
			t.Errorf("the target %q is parsed as %q", target, r.RequestURI)
		}
	})
}

// Shows where a target is lost: the decoded URL does not have all of it.
func TestURLDoesNotKeepTheTarget(t *testing.T) {
	const target = "/look/a%2Fb|c"
	r := ParseRequest(headWithTarget(target))
	if r == nil {
		t.Fatalf("the target %q is not parsed", target)
	}
	if got, want := r.URL.RequestURI(), "/look/a/b%7Cc"; got != want {
		t.Errorf("URL.RequestURI of %q is %q, want %q", target, got, want)
	}
}
