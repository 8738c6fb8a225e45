package hclfile

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"rowancart/internal/hcldecode"
)

// includedBodies gives a body with all that it includes before it, so that its own words come last and count. Paths are relative to
// the file that names them; chain has the files that led here, from the one that was asked for.
func includedBodies(body hcl.Body, chain []string) ([]hcl.Body, error) {
	content, _, diags := body.PartialContent(&hcl.BodySchema{Blocks: []hcl.BlockHeaderSchema{{Type: "include", LabelNames: []string{"path"}}}})
	if diags.HasErrors() {
		return nil, hcldecode.Faults(diags)
	}
	var out []hcl.Body
	here := chain[len(chain)-1]
	for _, b := range content.Blocks {
		path := filepath.Join(filepath.Dir(here), b.Labels[0])
		if slices.Contains(chain, path) {
			return nil, fmt.Errorf("%s: include: %s leads back to itself: %s", hcldecode.Where(b.DefRange), b.Labels[0],
				strings.Join(append(baseNames(chain), filepath.Base(path)), " > "))
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("%s: include: %w", hcldecode.Where(b.DefRange), err)
		}
		inner, err := hcldecode.Parse(text, filepath.ToSlash(b.Labels[0]))
		if err != nil {
			return nil, err
		}
		bodies, err := includedBodies(inner, append(slices.Clone(chain), path))
		if err != nil {
			return nil, err
		}
		out = append(out, bodies...)
	}
	return append(out, body), nil
}

func baseNames(paths []string) []string {
	var out []string
	for _, p := range paths {
		out = append(out, filepath.Base(p))
	}
	return out
}
