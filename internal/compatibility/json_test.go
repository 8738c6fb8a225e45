package compatibility

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"rowancart/internal/snapshot"
)

// readAge is the age of a stored file when the tests read it. The files are never rewritten and
// would otherwise be too old, so the tests pass snapshot.Read a current time that is readAge after
// the file's time of writing.
const readAge = 2 * time.Second

// writtenAt returns the time at which a snapshot file was written, and its content.
func writtenAt(t *testing.T, path string) (time.Time, []byte) {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	first, content, _ := bytes.Cut(text, []byte("\n"))
	var header struct {
		WrittenMs int64 `json:"written_ms"`
	}
	if err := json.Unmarshal(first, &header); err != nil {
		t.Fatal(err)
	}
	return time.UnixMilli(header.WrittenMs), content
}

// readSnapshot reads a stored snapshot file into value, at an age of readAge. It returns the
// unchanged content of the file, which is the text after the header line.
func readSnapshot(t *testing.T, path string, value any) []byte {
	t.Helper()
	written, content := writtenAt(t, path)
	age, err := snapshot.Read(path, written.Add(readAge), time.Minute, value)
	if err != nil || age != readAge {
		t.Fatalf("%s: age %v, want %v; %v", path, age, readAge, err)
	}
	return content
}

// decode decodes JSON into maps, slices and numbers that keep every digit.
func decode(t *testing.T, text []byte) any {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		t.Fatal(err)
	}
	return value
}

// checkEncodedAsStored checks that value, which was read from a file, is encoded with exactly the
// names and values of the file. If the stored name of a field had changed, the field would have
// been read as zero and would be encoded under its new name.
func checkEncodedAsStored(t *testing.T, value any, stored []byte) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := decode(t, encoded), decode(t, stored); !reflect.DeepEqual(got, want) {
		t.Errorf("encoded as\n%s\nwant, as stored,\n%s", encoded, stored)
	}
}

// object returns the JSON object at a path of names and list indices within value.
func object(t *testing.T, value any, path ...any) map[string]any {
	t.Helper()
	for _, step := range path {
		switch step := step.(type) {
		case string:
			object, _ := value.(map[string]any)
			value = object[step]
		case int:
			list, _ := value.([]any)
			if step >= len(list) {
				t.Fatalf("%v: the list has %d elements", path, len(list))
			}
			value = list[step]
		}
	}
	found, ok := value.(map[string]any)
	if !ok {
		t.Fatalf("%v is not an object", path)
	}
	return found
}

// checkNumbers checks fields against the numbers in a file. tolerance is the permitted relative
// difference, because restored values decay with time.
func checkNumbers(t *testing.T, what string, stored map[string]any, tolerance float64, got map[string]float64) {
	t.Helper()
	for name, number := range got {
		text, ok := stored[name].(json.Number)
		if !ok {
			t.Errorf("%s: the file contains no number %s", what, name)
			continue
		}
		want, err := text.Float64()
		if err != nil {
			t.Fatal(err)
		}
		if math.Abs(number-want) > tolerance*math.Abs(want) {
			t.Errorf("%s: %s is %v, want %v", what, name, number, want)
		}
	}
}

// copyTree copies a folder of stored files to a temporary folder of the test.
func copyTree(t *testing.T, from string) string {
	t.Helper()
	to := filepath.Join(t.TempDir(), filepath.Base(from))
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
	return to
}

// checkSameNames checks that two JSON values have the same field names at every level, and lists of
// the same length.
func checkSameNames(t *testing.T, path string, got, want any) {
	t.Helper()
	switch want := want.(type) {
	case map[string]any:
		got, _ := got.(map[string]any)
		for name := range got {
			if _, stored := want[name]; !stored {
				t.Errorf("%s: %s is written but was not stored", path, name)
			}
		}
		for name := range want {
			if _, written := got[name]; !written {
				t.Errorf("%s: %s was stored but is not written", path, name)
				continue
			}
			checkSameNames(t, path+"."+name, got[name], want[name])
		}
	case []any:
		got, _ := got.([]any)
		if len(got) != len(want) {
			t.Errorf("%s: %d elements, want %d", path, len(got), len(want))
			return
		}
		for i := range want {
			checkSameNames(t, fmt.Sprintf("%s[%d]", path, i), got[i], want[i])
		}
	}
}
