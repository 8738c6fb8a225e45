// Command linelength checks that the lines of Go files are short enough to read two files side by
// side: at most 100 characters for a line that holds only a comment, and 120 for any other line. A
// tab counts as one character. CI runs it over the whole repository; it skips test data.
//
// Usage: linelength DIR
package main

import (
	"bufio"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"unicode/utf8"
)

const (
	maxCommentLine = 100     // characters of a line that holds only a comment
	maxCodeLine    = 120     // characters of any other line
	maxScanned     = 1 << 20 // bytes; a longer line is an error
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: linelength DIR")
		os.Exit(2)
	}
	found, err := checkTree(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "linelength:", err)
		os.Exit(2)
	}
	for _, line := range found {
		fmt.Println(line)
	}
	if len(found) > 0 {
		os.Exit(1)
	}
}

// checkTree returns one message for each line that is too long, over all Go files below root.
func checkTree(root string) ([]string, error) {
	var found []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && isSkippedDir(entry.Name()):
			return filepath.SkipDir
		case entry.IsDir() || !strings.HasSuffix(path, ".go"):
			return nil
		}
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer file.Close()
		long, err := check(path, file)
		found = append(found, long...)
		return err
	})
	return found, err
}

func isSkippedDir(name string) bool {
	return name == ".git" || name == "journal" || name == "testdata"
}

// check returns one message for each line of a file that is too long. It does not parse Go: a line
// of a raw string counts as code, unless it begins with "//".
func check(path string, file io.Reader) ([]string, error) {
	var found []string
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, maxScanned)
	for number := 1; lines.Scan(); number++ {
		limit := maxCodeLine
		if strings.HasPrefix(strings.TrimSpace(lines.Text()), "//") {
			limit = maxCommentLine
		}
		if length := utf8.RuneCountInString(lines.Text()); length > limit {
			found = append(found, fmt.Sprintf("%s:%d: %d characters, at most %d are allowed", path, number, length, limit))
		}
	}
	return found, lines.Err()
}
