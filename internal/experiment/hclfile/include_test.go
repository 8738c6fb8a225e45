package hclfile

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// siteAndLoad is what an included file holds; it refers to the variable n.
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

func TestFilesIncludeOthers(t *testing.T) {
	const head = "experiment \"x\" {\n  question = \"?\"\n  duration = \"1s\"\n}\n"
	for _, c := range []struct {
		name  string
		files map[string]string
		want  string // the start of the error; empty: the file is valid
		n     int    // balancers
	}{
		{"variables of the including file replace others", map[string]string{
			"x.hcl":       head + "vars {\n  n = 7\n}\ninclude \"sites/s.hcl\" {}\n",
			"sites/s.hcl": "vars {\n  n = 3\n}\n" + siteAndLoad}, "", 7},
		{"paths are relative to the including file", map[string]string{"x.hcl": head + "include \"sites/a.hcl\" {}\n",
			"sites/a.hcl": "include \"b.hcl\" {}\n", "sites/b.hcl": "vars {\n  n = 3\n}\n" + siteAndLoad}, "", 3},
		{
			"fault in an included file",
			map[string]string{"x.hcl": head + "include \"s.hcl\" {}\n", "s.hcl": "vars {\n  n = 3\n}\n" + siteAndLoad +
				"fault \"crush\" {\n  at = \"1s\"\n}\n",
			},
			`s.hcl:18:7: fault: "crush" is not one of`, 0},
		{
			"cycle",
			map[string]string{"x.hcl": head +
				"include \"a.hcl\" {}\n", "a.hcl": "\ninclude \"b.hcl\" {}\n", "b.hcl": "include \"a.hcl\" {}\n",
			},
			`b.hcl:1:1: include: a.hcl includes itself: x.hcl > a.hcl > b.hcl > a.hcl`, 0},
		{
			"missing file",
			map[string]string{"x.hcl": head + "include \"a.hcl\" {}\n"},
			`x.hcl:5:1: include: open `,
			0,
		},
		{
			"duplicate site",
			map[string]string{"x.hcl": head + "vars {\n  n = 7\n}\ninclude \"s.hcl\" {}\n" +
				siteAndLoad, "s.hcl": siteAndLoad},
			`x.hcl:9:1: site: already defined at s.hcl:1:1`,
			0,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			points, err := Load(filepath.Join(writeFiles(t, c.files), "x.hcl"), nil)
			switch {
			case c.want != "":
				if err == nil || !strings.HasPrefix(err.Error(), c.want) {
					t.Errorf("got %v, want %s", err, c.want)
				}
			case err != nil:
				t.Error(err)
			case points[0].Site.Balancers != c.n:
				t.Errorf("%d balancers, want %d", points[0].Site.Balancers, c.n)
			}
		})
	}
}

// writeFiles writes files, by their paths, into a new folder and returns its path.
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
