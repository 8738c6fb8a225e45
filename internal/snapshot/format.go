package snapshot

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A snapshot file has two lines, the header and the content, each a JSON value. Different versions
// of the program read each other's files, so the names and values here must not change.
const (
	formatName    = "rowancart snapshot"
	formatVersion = 1
)

// header is the first line of a snapshot file.
type header struct {
	Format    string `json:"form"`
	Version   int    `json:"version"`
	WrittenMs int64  `json:"written_ms"` // Unix time
	Bytes     int    `json:"bytes"`      // length of the content without its line feed
	Checksum  string `json:"xxhash64"`   // hash of the content without its line feed, in hexadecimal
}

// file is a decoded snapshot file.
type file struct {
	header
	content []byte // a JSON value
}

// Encode returns the text of a snapshot file with a value as its content. now is the time of
// writing.
func Encode(now time.Time, value any) ([]byte, error) {
	content, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	headerLine, err := json.Marshal(header{
		Format:    formatName,
		Version:   formatVersion,
		WrittenMs: now.UnixMilli(),
		Bytes:     len(content),
		Checksum:  checksum(content),
	})
	if err != nil {
		return nil, err
	}
	return bytes.Join([][]byte{headerLine, content, nil}, []byte("\n")), nil
}

// decode decodes the text of a snapshot file and verifies that it is complete and not corrupt.
func decode(text []byte) (file, error) {
	headerLine, rest, _ := bytes.Cut(text, []byte("\n"))
	var f file
	if err := json.Unmarshal(headerLine, &f.header); err != nil || f.Format != formatName {
		return file{}, ErrCorrupt
	}
	if f.Version != formatVersion {
		return file{}, fmt.Errorf("%w: %d, supported is %d", ErrVersion, f.Version, formatVersion)
	}
	var hasLineFeed bool
	f.content, hasLineFeed = bytes.CutSuffix(rest, []byte("\n"))
	if !hasLineFeed || !f.isIntact() {
		return file{}, ErrCorrupt
	}
	return f, nil
}

// isIntact reports whether the content matches the length and checksum in the header.
func (f file) isIntact() bool { return len(f.content) == f.Bytes && checksum(f.content) == f.Checksum }

// writtenAt returns when the file was written.
func (f file) writtenAt() time.Time { return time.UnixMilli(f.WrittenMs) }

// checksum returns the checksum of content in the form that the header contains.
func checksum(content []byte) string { return strconv.FormatUint(xxhash.Sum64(content), 16) }
