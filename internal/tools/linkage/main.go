// Linkage checks that a program is linked dynamically against the C library. The platform requires
// this, because a library that is preloaded into a program (LD_PRELOAD) silently has no effect on a
// statically linked one.
package main

import (
	"debug/elf"
	"fmt"
	"os"
	"slices"
	"strings"
)

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "linkage: usage: linkage PROGRAM")
		os.Exit(2)
	}
	if err := check(os.Args[1]); err != nil {
		fmt.Fprintln(os.Stderr, "linkage:", err)
		os.Exit(1)
	}
}

// check returns an error unless the ELF file at path names a dynamic loader and needs the C
// library.
func check(path string) error {
	file, err := elf.Open(path)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer file.Close()
	hasLoader := slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP })
	libraries, err := file.ImportedLibraries()
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	needsLibc := slices.ContainsFunc(libraries, func(l string) bool { return strings.HasPrefix(l, "libc.so") })
	if !hasLoader || !needsLibc {
		return fmt.Errorf("%s is not linked dynamically against the C library: "+
			"build it with cgo and -ldflags=-linkmode=external", path)
	}
	return nil
}
