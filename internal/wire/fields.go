package wire

import (
	"bytes"
	"fmt"
	"time"

	"rowancart/internal/platform"
)

// field is one name=value of a line.
type field struct{ key, value []byte }

// splitFields parses the fields of a line, which is rest, of the message called name.
func (r *Reader) splitFields(rest []byte, name string) error {
	r.fields = r.fields[:0]
	for len(rest) > 0 {
		key, after, ok := bytes.Cut(rest, []byte("="))
		if !ok || len(key) == 0 || bytes.IndexByte(key, '\t') >= 0 {
			return fmt.Errorf("%s has a part that is not name=value", name)
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

// field returns a field of the current line, and whether the line has it.
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

// maxDigits is the length of the largest uint64.
const maxDigits = 20

// unsigned returns a field as a number. An optional one that is missing is 0.
func (r *Reader) unsigned(key string, p presence) (uint64, error) {
	value, ok := r.field(key)
	if !ok {
		if p == required {
			return 0, fmt.Errorf("%s is missing", key)
		}
		return 0, nil
	}
	if len(value) == 0 || len(value) > maxDigits {
		return 0, fmt.Errorf("%s=%.40q is not a number", key, value)
	}
	n := uint64(0)
	for _, c := range value {
		if c < '0' || c > '9' || n > (1<<64-1-uint64(c-'0'))/10 {
			return 0, fmt.Errorf("%s=%.40q is not a number", key, value)
		}
		n = n*10 + uint64(c-'0')
	}
	return n, nil
}

// maxMicros is the longest time.Duration in microseconds.
const maxMicros = int64(1<<63-1) / int64(time.Microsecond)

// micros returns a field that is in microseconds.
func (r *Reader) micros(key string, p presence) (time.Duration, error) {
	n, err := r.unsigned(key, p)
	if err == nil && n > uint64(maxMicros) {
		err = fmt.Errorf("%s is too large a time", key)
	}
	return time.Duration(n) * time.Microsecond, err
}

// integer returns a field as an int.
func (r *Reader) integer(key string, p presence) (int, error) {
	n, err := r.unsigned(key, p)
	if err == nil && n > 1<<63-1 {
		err = fmt.Errorf("%s is too large", key)
	}
	return int(n), err
}

// values reads several fields of the current line and keeps the first error in err.
type values struct {
	r   *Reader
	err error
}

// fail sets a new error unless there is one.
func (v *values) fail(format string, args ...any) {
	v.setError(fmt.Errorf(format, args...))
}

// setError sets the error unless there is one.
func (v *values) setError(err error) {
	if v.err == nil {
		v.err = err
	}
}

// integer returns a field as an int.
func (v *values) integer(key string, p presence) int {
	n, err := v.r.integer(key, p)
	v.setError(err)
	return n
}

// micros returns a field that is in microseconds.
func (v *values) micros(key string, p presence) time.Duration {
	d, err := v.r.micros(key, p)
	v.setError(err)
	return d
}

// bytes returns a field; one that is required must not be empty. The bytes are valid until the next
// line is read.
func (v *values) bytes(key string, p presence) []byte {
	value, ok := v.r.field(key)
	if p == required && len(value) == 0 {
		if ok {
			v.fail("%s is empty", key)
		} else {
			v.fail("%s is missing", key)
		}
	}
	return value
}

// text returns a field as a string.
func (v *values) text(key string, p presence) string { return string(v.bytes(key, p)) }

// id reads the request ID.
func (v *values) id() string { return v.text(fieldRequestID, required) }

// maxInterned is the largest number of strings that intern remembers.
const maxInterned = 1 << 16

// intern returns a field with few different values, such as a class or an endpoint. Equal values
// give the same string, which saves an allocation.
func (v *values) intern(key string, p presence) string {
	value := v.bytes(key, p)
	if s, ok := v.r.interned[string(value)]; ok {
		return s
	}
	s := string(value)
	if len(v.r.interned) < maxInterned {
		v.r.interned[s] = s
	}
	return s
}
