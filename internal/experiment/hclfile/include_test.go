package hclfile

import (
	"os"
	"path/filepath"
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
		want  string // the error; empty: it is a good file
		n     int    // balancers
	}{
		{"the including file's variables count", map[string]string{
			"x.hcl":       head + "vars {\n  n = 7\n}\ninclude \"sites/s.hcl\" {}\n",
			"sites/s.hcl": "vars {\n  n = 3\n}\n" + siteAndLoad}, "", 7},
		{"paths are relative to the file that names them", map[string]string{"x.hcl": head + "include \"sites/a.hcl\" {}\n",
			"sites/a.hcl": "include \"b.hcl\" {}\n", "sites/b.hcl": "vars {\n  n = 3\n}\n" + siteAndLoad}, "", 3},
		{
			"a fault is placed in its file",
			map[string]string{"x.hcl": head + "include \"s.hcl\" {}\n", "s.hcl": "vars {\n  n = 3\n}\n" + siteAndLoad +
				"fault \"crush\" {\n  at = \"1s\"\n}\n",
			},
			`s.hcl:18:7: fault: "crush" is none of`, 0},
		{
			"a cycle",
			map[string]string{"x.hcl": head +
				"include \"a.hcl\" {}\n", "a.hcl": "\ninclude \"b.hcl\" {}\n", "b.hcl": "include \"a.hcl\" {}\n",
			},
			`b.hcl:1:1: include: a.hcl leads back to itself: x.hcl > a.hcl > b.hcl > a.hcl`, 0},
		{
			"a file that is not there",
			map[string]string{"x.hcl": head + "include \"a.hcl\" {}\n"},
			`x.hcl:5:1: include: open `,
			0,
		},
		{
			"two sites",
			map[string]string{"x.hcl": head + "vars {\n  n = 7\n}\ninclude \"s.hcl\" {}\n" +
				siteAndLoad, "s.hcl": siteAndLoad},
			`x.hcl:9:1: site: there is one already, at s.hcl:1:1`,
			0,
		},
	} {
		dir := t.TempDir()
		for name, text := range c.files {
			path := filepath.Join(dir, name)
			if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
				t.Fatal(err)
			}
			if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		points, err := Load(filepath.Join(dir, "x.hcl"), nil)
		switch {
		case c.want != "":
			if err == nil || len(err.Error()) < len(c.want) || err.Error()[:len(c.want)] != c.want {
				t.Errorf("%s: %v\nwanted: %s", c.name, err, c.want)
			}
		case err != nil:
			t.Errorf("%s: %v", c.name, err)
		case points[0].Site.Balancers != c.n:
			t.Errorf("%s: %d balancers, %d are right", c.name, points[0].Site.Balancers, c.n)
		}
	}
}
