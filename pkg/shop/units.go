package shop

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Bytes is an amount of memory in bytes, encoded as text such as "16GiB".
type Bytes uint64

// Units of memory.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
	GiB Bytes = 1 << 30
)

type byteUnit struct {
	suffix string
	size   Bytes
}

var byteUnits = []byteUnit{{"GiB", GiB}, {"MiB", MiB}, {"KiB", KiB}, {"B", 1}}

// String formats the amount in the largest unit that divides it.
func (b Bytes) String() string {
	if b == 0 {
		return "0B"
	}
	for _, u := range byteUnits {
		if b%u.size == 0 {
			return strconv.FormatUint(uint64(b/u.size), 10) + u.suffix
		}
	}
	return strconv.FormatUint(uint64(b), 10) + "B"
}

// MarshalText encodes the amount with its unit.
func (b Bytes) MarshalText() ([]byte, error) { return []byte(b.String()), nil }

// UnmarshalText decodes an amount such as "16GiB". Errors wrap ErrInvalid.
func (b *Bytes) UnmarshalText(text []byte) error {
	s := string(text)
	for _, u := range byteUnits {
		number, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(number, 10, 64)
		if err != nil || n > uint64(^Bytes(0)/u.size) {
			break
		}
		*b = Bytes(n) * u.size
		return nil
	}
	return fmt.Errorf("shop.Bytes: %q is not an amount of memory such as 16GiB: %w", s, ErrInvalid)
}

// Duration is a time.Duration encoded as text such as "1.5s".
type Duration time.Duration

// String formats the duration as time.Duration does.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalText encodes the duration with its unit.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a duration such as "90s". Errors wrap ErrInvalid.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("shop.Duration: %q is not a duration such as 90s: %w", text, ErrInvalid)
	}
	*d = Duration(v)
	return nil
}
