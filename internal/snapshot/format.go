package snapshot

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// A file has two lines, each a JSON value: the header and the content.
const (
	formatName    = "rowancart snapshot"
	formatVersion = 1
)

// header is the first line of a file.
type header struct {
	Format    string `json:"form"`
	Version   int    `json:"version"`
	WrittenMs int64  `json:"written_ms"` // Unix time
	Bytes     int    `json:"bytes"`      // length of the content, without its line's end
	Checksum  string `json:"xxhash64"`   // of the same
}

// encode returns the text of a file.
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

// decode splits the text of a file and verifies that it is complete and unchanged.
func decode(text []byte) (h header, content []byte, err error) {
	first, rest, _ := bytes.Cut(text, []byte("\n"))
	if err := json.Unmarshal(first, &h); err != nil || h.Format != formatName {
		return header{}, nil, ErrCorrupt
	}
	if h.Version != formatVersion {
		return header{}, nil, fmt.Errorf("%w: %d, and this program reads %d", ErrVersion, h.Version, formatVersion)
	}
	content, isComplete := bytes.CutSuffix(rest, []byte("\n"))
	if !isComplete || len(content) != h.Bytes || checksum(content) != h.Checksum {
		return header{}, nil, ErrCorrupt
	}
	return h, content, nil
}

func checksum(content []byte) string { return strconv.FormatUint(xxhash.Sum64(content), 16) }
