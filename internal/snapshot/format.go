package snapshot

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A file has two lines, each a JSON value: the header and the content. Files are exchanged between
// versions of the program, so the names and the values here must not change.
const (
	formatName    = "rowancart snapshot"
	formatVersion = 1
)

// header is the first line of a file.
type header struct {
	Format    string `json:"form"`
	Version   int    `json:"version"`
	WrittenMs int64  `json:"written_ms"` // Unix time
	Bytes     int    `json:"bytes"`      // length of the content, without its line feed
	Checksum  string `json:"xxhash64"`   // of the content, without its line feed
}

// file is a decoded file.
type file struct {
	header
	content []byte // a JSON value
}

// encode returns the text of a file that is written now.
func encode(now time.Time, value any) ([]byte, error) {
	content, err := json.Marshal(value)
	if err != nil {
		return nil, err
	}
	first, err := json.Marshal(header{
		Format:    formatName,
		Version:   formatVersion,
		WrittenMs: now.UnixMilli(),
		Bytes:     len(content),
		Checksum:  checksum(content),
	})
	if err != nil {
		return nil, err
	}
	return bytes.Join([][]byte{first, content, nil}, []byte("\n")), nil
}

// decode decodes the text of a file and verifies that it is complete and unchanged.
func decode(text []byte) (file, error) {
	first, rest, _ := bytes.Cut(text, []byte("\n"))
	var f file
	if err := json.Unmarshal(first, &f.header); err != nil || f.Format != formatName {
		return file{}, ErrCorrupt
	}
	if f.Version != formatVersion {
		return file{}, fmt.Errorf("%w: %d, and this program reads %d", ErrVersion, f.Version, formatVersion)
	}
	var hasLineFeed bool
	f.content, hasLineFeed = bytes.CutSuffix(rest, []byte("\n"))
	if !hasLineFeed || !f.isIntact() {
		return file{}, ErrCorrupt
	}
	return f, nil
}

// isIntact reports whether the content is the one that the header describes.
func (f file) isIntact() bool { return len(f.content) == f.Bytes && checksum(f.content) == f.Checksum }

// writtenAt returns when the file was written.
func (f file) writtenAt() time.Time { return time.UnixMilli(f.WrittenMs) }

// checksum returns the checksum of a content, as it is in the header.
func checksum(content []byte) string { return strconv.FormatUint(xxhash.Sum64(content), 16) }
