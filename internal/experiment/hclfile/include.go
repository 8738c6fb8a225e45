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

// includedBodies returns a body after the bodies that it includes, so that its own attributes come
// last and replace theirs. Paths are relative to the file that includes them. Chain holds the paths
// from the file that was loaded to the one with this body; a file that includes itself is an error.
func includedBodies(body hcl.Body, chain []string) ([]hcl.Body, error) {
	content, _, diags := body.PartialContent(&hcl.BodySchema{
		Blocks: []hcl.BlockHeaderSchema{{Type: "include", LabelNames: []string{"path"}}}})
	if diags.HasErrors() {
		return nil, hcldecode.NewErrorList(diags).Err()
	}
	var out []hcl.Body
	current := chain[len(chain)-1]
	for _, b := range content.Blocks {
		path := filepath.Join(filepath.Dir(current), b.Labels[0])
		if slices.Contains(chain, path) {
			return nil, fmt.Errorf("%s: include: %s includes itself: %s", hcldecode.PositionOf(b.DefRange), b.Labels[0],
				strings.Join(append(baseNames(chain), filepath.Base(path)), " > "))
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("%s: include: %w", hcldecode.PositionOf(b.DefRange), err)
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

// baseNames returns the last elements of paths.
func baseNames(paths []string) []string {
	var out []string
	for _, p := range paths {
		out = append(out, filepath.Base(p))
	}
	return out
}
