package matrix

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// verbose prints what every process logs, by virtual time.
var verbose = os.Getenv("MATRIX_VERBOSE") != ""

type virtualTimeWriter struct{ d *deployment }

// Write implements io.Writer.
func (w virtualTimeWriter) Write(b []byte) (int, error) {
	w.d.logf("%s", strings.TrimSpace(string(b)))
	return len(b), nil
}

func (d *deployment) logf(format string, args ...any) {
	if verbose {
		fmt.Printf("%9s "+format+"\n", append([]any{time.Since(d.start).Round(time.Millisecond)}, args...)...)
	}
}
