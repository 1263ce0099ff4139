package matrix

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// verbose prints the logs of all processes with virtual time stamps.
var verbose = os.Getenv("MATRIX_VERBOSE") != ""

// virtualTimeWriter prints log lines with the virtual time.
type virtualTimeWriter struct{ d *deployment }

// Write implements io.Writer.
func (w virtualTimeWriter) Write(b []byte) (int, error) {
	w.d.logf("%s", strings.TrimSpace(string(b)))
	return len(b), nil
}

// logf prints a line with the virtual time since the start, if verbose.
func (d *deployment) logf(format string, args ...any) {
	if verbose {
		fmt.Printf("%9s "+format+"\n", append([]any{time.Since(d.start).Round(time.Millisecond)}, args...)...)
	}
}
