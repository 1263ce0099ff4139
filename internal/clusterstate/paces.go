package clusterstate

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"sniperill.example/sniperill/internal/journal"
	"sniperill.example/sniperill/internal/pace"
)

const (
	// PaceBlocks is the number of records in which the machines' paces are stored, so that a change of one
	// doesn't store all of them again.
	PaceBlocks = 16
	// MaxPaces is the maximum number of machines in one of them.
	MaxPaces = 512
	// paceScale is the reciprocal of the precision with which logarithms of paces are stored.
	paceScale = 100
	// maxMachine is the maximum length of a machine's name, in bytes.
	maxMachine = 256
)

// storedPace is the logarithm of a machine's pace, times paceScale, and the number of readings that tell it.
type storedPace [2]int

// PaceBlock returns the number of the record that has a machine's pace.
func PaceBlock(machine string) int { return int(xxhash.Sum64String(machine) % PaceBlocks) }

// PaceKey returns the key of the record of a block.
func PaceKey(block int) string { return pacePrefix + strconv.Itoa(block) }

// PaceRecord records the paces of the machines of a block, within the bounds that other processes hold them to.
func PaceRecord(block int, known map[string]pace.Known) journal.Record {
	out := make(map[string]storedPace, min(len(known), MaxPaces))
	for _, machine := range slices.Sorted(maps.Keys(known)) {
		k := known[machine]
		if len(out) >= MaxPaces || machine == "" || len(machine) > maxMachine || !utf8.ValidString(machine) || math.IsNaN(k.LogPace) || k.Readings < 1 {
			continue
		}
		logPace := max(-pace.MaxLogPace, min(pace.MaxLogPace, k.LogPace))
		out[machine] = storedPace{int(math.Round(paceScale * logPace)), k.Readings}
	}
	return record(PaceKey(block), out)
}

// Paces returns what planners have learned of the machines' paces.
func (s *State) Paces() map[string]pace.Known {
	out := make(map[string]pace.Known)
	s.paces.Range(func(_, v any) bool {
		maps.Copy(out, v.(map[string]pace.Known))
		return true
	})
	return out
}

func (s *State) applyPaces(name string, r journal.Record) error {
	block, err := strconv.Atoi(name)
	if err != nil || block < 0 || block >= PaceBlocks || strconv.Itoa(block) != name {
		return fmt.Errorf("%w: paces of block %q", errOther, name)
	}
	if r.Value == nil {
		s.paces.Delete(block)
		return nil
	}
	var stored map[string]storedPace
	if err := json.Unmarshal(r.Value, &stored); err != nil {
		return err
	}
	if stored == nil || len(stored) > MaxPaces {
		return fmt.Errorf("%w: paces of %d machines in block %d", errOther, len(stored), block)
	}
	known := make(map[string]pace.Known, len(stored))
	for machine, p := range stored {
		if machine == "" || len(machine) > maxMachine || p[0] < -pace.MaxLogPace*paceScale || p[0] > pace.MaxLogPace*paceScale || p[1] < 1 {
			return fmt.Errorf("%w: pace %v of machine %q", errOther, p, machine)
		}
		known[machine] = pace.Known{LogPace: float64(p[0]) / paceScale, Readings: p[1]}
	}
	s.paces.Store(block, known)
	return nil
}
