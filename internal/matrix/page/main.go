// Command page writes docs/FAULTS.md from the table in package matrix.
package main

import (
	"fmt"
	"os"

	"sniperill.example/sniperill/internal/matrix"
)

func main() {
	if err := matrix.WritePage(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
