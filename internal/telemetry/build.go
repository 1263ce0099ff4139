package telemetry

import (
	"debug/elf"
	"os"
	"runtime/debug"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Build returns an id of the running program's build, to tell processes of different versions apart. It begins
// with the revision of the sources if that was stamped into the program. "unknown" means that there is no id.
var Build = sync.OnceValue(func() string {
	var parts []string
	if r := revision(); r != "" {
		parts = append(parts, r)
	}
	if path, err := os.Executable(); err == nil {
		if id := linkerID(path); id != "" {
			parts = append(parts, id)
		}
	}
	if len(parts) == 0 {
		return "unknown"
	}
	return strings.Join(parts, "-")
})

// buildIDLength is how much of a revision or a linker's id is used, in characters.
const buildIDLength = 12

// revision returns the revision that the go command stamped into the program, if any.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return ""
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(buildIDLength, len(s.Value))]
		}
	}
	return ""
}

// linkerID returns the part of the Go linker's build id that depends on the content of a program.
func linkerID(path string) string {
	f, err := elf.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	section := f.Section(".note.go.buildid")
	if section == nil {
		return ""
	}
	note, err := section.Data()
	// An ELF note has four bytes each for the lengths of its name and its description and for its type. The name,
	// padded to four bytes, and the description follow.
	const header = 12
	if err != nil || len(note) < header {
		return ""
	}
	name, length := int(f.ByteOrder.Uint32(note)), int(f.ByteOrder.Uint32(note[4:]))
	start := header + (name+3)/4*4
	if start+length > len(note) {
		return ""
	}
	id := string(note[start : start+length])
	id = id[strings.LastIndexByte(id, '/')+1:]
	return id[:min(buildIDLength, len(id))]
}

// RegisterBuild adds the metric that tells the program's build.
func RegisterBuild() {
	metrics.GetOrCreateGauge(`sniperill_build_info{build="`+Build()+`"}`, nil).Set(1)
}
