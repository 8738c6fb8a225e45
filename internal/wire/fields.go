package wire

import (
	"bytes"
	"fmt"
	"time"

	"rowancart/internal/platform"
)

// field is one field of a line, name=value.
type field struct{ key, value []byte }

// splitFields splits rest, the part of a line after the message name, into fields. The settings in
// a msgStart extend to the end of the line, since they may contain tabs.
func (r *Reader) splitFields(rest []byte, name string) error {
	r.fields = r.fields[:0]
	for len(rest) > 0 {
		key, after, ok := bytes.Cut(rest, []byte("="))
		if !ok || len(key) == 0 || bytes.IndexByte(key, '\t') >= 0 {
			return fmt.Errorf("%s has a field that is not name=value", name)
		}
		value := after
		if name == msgStart && string(key) == platform.SettingsField {
			rest = nil
		} else {
			value, rest, _ = bytes.Cut(after, []byte("\t"))
		}
		r.fields = append(r.fields, field{key, value})
	}
	return nil
}

// field returns the value of a field of the current line, and whether the line has that field.
func (r *Reader) field(key string) ([]byte, bool) {
	for i := range r.fields {
		if string(r.fields[i].key) == key {
			return r.fields[i].value, true
		}
	}
	return nil, false
}

// presence says whether a message must have a field.
type presence int

const (
	required presence = iota
	optional
)

// maxDigits is the number of decimal digits of the largest uint64.
const maxDigits = 20

// unsigned returns a field as an unsigned number, or 0 if it is optional and missing.
func (r *Reader) unsigned(key string, p presence) (uint64, error) {
	value, ok := r.field(key)
	if !ok {
		if p == required {
			return 0, fmt.Errorf("%s is missing", key)
		}
		return 0, nil
	}
	if len(value) == 0 || len(value) > maxDigits {
		return 0, fmt.Errorf("%s=%.40q is not an unsigned 64-bit number", key, value)
	}
	n := uint64(0)
	for _, c := range value {
		if c < '0' || c > '9' || n > (1<<64-1-uint64(c-'0'))/10 {
			return 0, fmt.Errorf("%s=%.40q is not an unsigned 64-bit number", key, value)
		}
		n = n*10 + uint64(c-'0')
	}
	return n, nil
}

// maxMicros is the longest time.Duration, in microseconds.
const maxMicros = int64(1<<63-1) / int64(time.Microsecond)

// micros returns a field in microseconds as a time.Duration.
func (r *Reader) micros(key string, p presence) (time.Duration, error) {
	n, err := r.unsigned(key, p)
	if err == nil && n > uint64(maxMicros) {
		err = fmt.Errorf("%s exceeds the longest time.Duration", key)
	}
	return time.Duration(n) * time.Microsecond, err
}

// integer returns a field as an int.
func (r *Reader) integer(key string, p presence) (int, error) {
	n, err := r.unsigned(key, p)
	if err == nil && n > 1<<63-1 {
		err = fmt.Errorf("%s exceeds the range of int", key)
	}
	return int(n), err
}

// fieldParser parses the fields of the current line. It keeps the first error in err, so that a
// caller can parse several fields before it checks for an error.
type fieldParser struct {
	r   *Reader
	err error
}

// fail records a new error unless one is recorded already.
func (f *fieldParser) fail(format string, args ...any) {
	f.setError(fmt.Errorf(format, args...))
}

// setError records err unless an error is recorded already.
func (f *fieldParser) setError(err error) {
	if f.err == nil {
		f.err = err
	}
}

// integer returns a field as an int. It records an error if the field is invalid, or required and
// missing.
func (f *fieldParser) integer(key string, p presence) int {
	n, err := f.r.integer(key, p)
	f.setError(err)
	return n
}

// micros returns a field in microseconds as a time.Duration. It records the same errors as integer.
func (f *fieldParser) micros(key string, p presence) time.Duration {
	d, err := f.r.micros(key, p)
	f.setError(err)
	return d
}

// bytes returns the value of a field, which must not be empty if the field is required. The bytes
// are valid until the next line is read.
func (f *fieldParser) bytes(key string, p presence) []byte {
	value, ok := f.r.field(key)
	if p == required && len(value) == 0 {
		if ok {
			f.fail("%s is empty", key)
		} else {
			f.fail("%s is missing", key)
		}
	}
	return value
}

// text returns the value of a field as a string. Like bytes, it requires a value if the field is
// required.
func (f *fieldParser) text(key string, p presence) string { return string(f.bytes(key, p)) }

// id parses the request ID.
func (f *fieldParser) id() string { return f.text(fieldRequestID, required) }

// maxInterned is the largest number of strings that intern remembers.
const maxInterned = 1 << 16

// intern is like text, for fields with few distinct values, such as a class or an endpoint. It
// returns the same string for equal values, which saves an allocation.
func (f *fieldParser) intern(key string, p presence) string {
	value := f.bytes(key, p)
	if s, ok := f.r.interned[string(value)]; ok {
		return s
	}
	s := string(value)
	if len(f.r.interned) < maxInterned {
		f.r.interned[s] = s
	}
	return s
}
