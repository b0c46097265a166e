// Command cmd runs the measurements and prints their results as a table. With
// -write it also writes the table to a file.
package main

import (
	"flag"
	"fmt"
	"os"

	"tanagerpoint.example/tanager/measure"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all chances")
	file := flag.String("write", "", "file to write the table to")
	flag.Parse()
	table := measure.Table(append(measure.All(*seed), measure.Placement(*seed)))
	fmt.Print(table)
	if *file == "" {
		return
	}
	text := fmt.Sprintf("# Measures\n\n`make measure` wrote this page, with seed %d. docs/DESIGN.md says what each\nmeasure drives and what its fakes leave out.\n\n%s", *seed, table)
	if err := os.WriteFile(*file, []byte(text), 0o600); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
