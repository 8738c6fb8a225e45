package hclfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// siteAndLoad is the text of an included file. It refers to the variable n.
const siteAndLoad = `site {
  balancers = var.n
  class "c" {
    work     = "1ms"
    aim      = "1s"
    deadline = "2s"
  }
  tier "t" {
    boxes = 2
  }
}
load {
  rate = "5/s"
}
`

// Parts of files: the block "experiment", and blocks that set the variable n.
const (
	experimentBlock = "experiment \"x\" {\n  question = \"?\"\n  duration = \"1s\"\n}\n"
	varsWithN3      = "vars {\n  n = 3\n}\n"
	varsWithN7      = "vars {\n  n = 7\n}\n"
)

// includeCases are sets of files. The test loads x.hcl.
var includeCases = []struct {
	name      string
	files     map[string]string // by path
	wantError string            // how the error begins; empty if the files are valid
	balancers int
}{
	{
		name: "variables of the including file replace others",
		files: map[string]string{
			"x.hcl":       experimentBlock + varsWithN7 + "include \"sites/s.hcl\" {}\n",
			"sites/s.hcl": varsWithN3 + siteAndLoad,
		},
		balancers: 7,
	},
	{
		name: "paths are relative to the including file",
		files: map[string]string{
			"x.hcl":       experimentBlock + "include \"sites/a.hcl\" {}\n",
			"sites/a.hcl": "include \"b.hcl\" {}\n",
			"sites/b.hcl": varsWithN3 + siteAndLoad,
		},
		balancers: 3,
	},
	{
		name: "error in an included file",
		files: map[string]string{
			"x.hcl": experimentBlock + "include \"s.hcl\" {}\n",
			"s.hcl": varsWithN3 + siteAndLoad + "fault \"crush\" {\n  at = \"1s\"\n}\n",
		},
		wantError: `s.hcl:18:7: fault: "crush" is not one of`,
	},
	{
		name: "cycle",
		files: map[string]string{
			"x.hcl": experimentBlock + "include \"a.hcl\" {}\n",
			"a.hcl": "\ninclude \"b.hcl\" {}\n",
			"b.hcl": "include \"a.hcl\" {}\n",
		},
		wantError: `b.hcl:1:1: include: a.hcl includes itself: x.hcl > a.hcl > b.hcl > a.hcl`,
	},
	{
		name:      "missing file",
		files:     map[string]string{"x.hcl": experimentBlock + "include \"a.hcl\" {}\n"},
		wantError: `x.hcl:5:1: include: open `,
	},
	{
		name: "duplicate site",
		files: map[string]string{
			"x.hcl": experimentBlock + varsWithN7 + "include \"s.hcl\" {}\n" + siteAndLoad,
			"s.hcl": siteAndLoad,
		},
		wantError: `x.hcl:9:1: site: already defined at s.hcl:1:1`,
	},
}

func TestFilesIncludeOthers(t *testing.T) {
	for _, c := range includeCases {
		t.Run(c.name, func(t *testing.T) {
			points, err := Load(filepath.Join(writeFiles(t, c.files), "x.hcl"), nil)
			switch {
			case c.wantError != "":
				if err == nil || !strings.HasPrefix(err.Error(), c.wantError) {
					t.Errorf("got error %v, want one that begins with %s", err, c.wantError)
				}
			case err != nil:
				t.Error(err)
			case points[0].Site.Balancers != c.balancers:
				t.Errorf("%d balancers, want %d", points[0].Site.Balancers, c.balancers)
			}
		})
	}
}

// writeFiles writes files into a new directory and returns its path. The argument files holds the
// text of each file by its path within the directory.
func writeFiles(t *testing.T, files map[string]string) string {
	t.Helper()
	dir := t.TempDir()
	for name, text := range files {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}
