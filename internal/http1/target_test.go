package http1

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"testing"
)

// headWithTarget returns the simplest head of a request with the given target.
func headWithTarget(target string) []byte {
	return []byte("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n")
}

// eachTargetByte calls check with targets that have each of the 256 bytes in the path, in the query
// and in a percent-encoding.
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

func TestCheckTarget(t *testing.T) {
	for target, wantErr := range map[string]error{
		"/":                          nil,
		"//a/b":                      nil,
		"/a%2Fb/c?d=%7C&e[]=f?g/h:@": nil,
		"/-._~!$&'()*+,;=:@":         nil,
		"/a?":                        nil,
		"":                           errTargetForm,
		"*":                          errTargetForm,
		"h:80":                       errTargetForm,
		"http://h/a":                 errTargetForm,
		"/a|b":                       errTargetByte,
		"/a?b|c":                     errTargetByte,
		"/a[b":                       errTargetByte,
		"/a#b":                       errTargetByte,
		"/a?b#c":                     errTargetByte,
		"/a b":                       errTargetByte,
		"/a\xe4":                     errTargetByte,
		"/a?\x7f":                    errTargetByte,
		"/a%2":                       errTargetEncoding,
		"/a%zz":                      errTargetEncoding,
		"/a?b%":                      errTargetEncoding,
	} {
		if err := CheckTarget(target); !errors.Is(err, wantErr) {
			t.Errorf("CheckTarget(%q) returns %v, want %v", target, err, wantErr)
		}
	}
}

// A target that is accepted must be the same for every parser.
func FuzzCheckTarget(f *testing.F) {
	for _, target := range []string{"/look", "/a%2Fb|c", "//a", "/a?b", "http://h/a", "*", "/a#b", "/a HTTP/1.1\r\nX: "} {
		f.Add(target)
	}
	f.Fuzz(func(t *testing.T, target string) {
		if CheckTarget(target) != nil {
			return
		}
		head := headWithTarget(target)
		want, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head)))
		if err != nil || want.RequestURI != target {
			t.Fatalf("net/http parses the target %q as %+v, error %v", target, want, err)
		}
		if r := ParseRequest(head); r == nil || r.RequestURI != target {
			t.Fatalf("the target %q is parsed as %+v", target, r)
		}
	})
}
